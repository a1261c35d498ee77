package peer

import (
	"comfreystream/transport"
)

// Client calls other entries; it is safe for concurrent use. Its methods fail
// with a *state.StepError: homeUnreachable if the peer did not get the request
// or refused it before handling it, badRequest if the peer could not decode it,
// else the error that the peer returned, or an ambiguous one if the response
// was lost.
type Client struct {
	waits    waitLimiter
	jobs     jobCalls
	racks    rackCalls
	manifest manifestCalls
}

// NewClient returns a Client that sends its calls over the transport client.
func NewClient(client *transport.Client) *Client {
	h := transport.HTTPClient{Client: client}
	return &Client{
		waits: newWaitLimiter(),
		jobs: jobCalls{
			submit: newProcedure[jobRequest, emptyMessage](h, stepSubmit),
			accept: newProcedure[jobRequest, emptyMessage](h, stepAccept),
			await:  newProcedure[jobIDRequest, wireProgress](h, stepAwait),
			cancel: newProcedure[jobIDRequest, emptyMessage](h, stepCancel),
		},
		racks: rackCalls{
			hold:       newProcedure[wireHoldRequest, leasesMessage](h, stepHold),
			start:      newProcedure[leasesMessage, emptyMessage](h, stepStart),
			stop:       newProcedure[attemptRequest, stopResponse](h, stepStop),
			checkpoint: newProcedure[attemptRequest, checkpointResponse](h, stepCheckpoint),
			report:     newProcedure[wireRackReport, wireReportReply](h, stepReport),
			announce:   newProcedure[emptyMessage, emptyMessage](h, stepAnnounce),
		},
		manifest: manifestCalls{
			push:  newProcedure[wireUpdate, wireManifestVersion](h, stepPushManifest),
			fetch: newProcedure[wireManifestVersion, wireUpdate](h, stepFetchManifest),
		},
	}
}
