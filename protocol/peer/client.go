package peer

import (
	"comfreystream/transport"
)

// Client calls other entries; it is safe for several goroutines. Failures are
// *state.StepError: homeUnreachable if the call did not leave, otherwise
// ambiguous or what the peer answered.
type Client struct {
	waits    waits
	jobs     jobCalls
	racks    rackCalls
	manifest manifestCalls
}

// NewClient returns a client that uses the connections of the transport's client.
func NewClient(client *transport.Client) *Client {
	h := transport.HTTPClient{Client: client}
	return &Client{
		waits: newWaits(),
		jobs: jobCalls{
			submit: newProcedure[jobRequest, none](h, stepSubmit),
			accept: newProcedure[jobRequest, none](h, stepAccept),
			await:  newProcedure[idRequest, wireProgress](h, stepAwait),
			cancel: newProcedure[idRequest, none](h, stepCancel),
		},
		racks: rackCalls{
			hold:       newProcedure[holdRequest, leasesMessage](h, stepHold),
			start:      newProcedure[leasesMessage, none](h, stepStart),
			stop:       newProcedure[attemptRequest, stopResponse](h, stepStop),
			checkpoint: newProcedure[attemptRequest, checkpointResponse](h, stepCheckpoint),
			report:     newProcedure[wireRackReport, wireReportReply](h, stepReport),
			announce:   newProcedure[none, none](h, stepAnnounce),
		},
		manifest: manifestCalls{
			push:  newProcedure[wireUpdate, wireHave](h, stepPushManifest),
			fetch: newProcedure[wireHave, wireUpdate](h, stepFetchManifest),
		},
	}
}
