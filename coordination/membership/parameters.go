package membership

import "time"

const (
	// tickPeriod is the time between two calls of Tick.
	tickPeriod = 200 * time.Millisecond
	// pauseThreshold is the time without a tick after which the process counts as paused.
	pauseThreshold = time.Second
	// settleTime is how long a member that started, or resumed after a pause,
	// listens before it may conclude that its zone has no other member.
	settleTime = 1500 * time.Millisecond
	// ackValidity is how long an Ack from the zone keeps the view fresh.
	ackValidity = 3 * time.Second
	// deadRetention is how long a dead member is kept and probed, so that the
	// two sides of a partition find each other again when it heals.
	deadRetention = 3 * time.Hour
	// leftRetention is how long the record of a member that left is kept, so
	// that older updates about it are recognised as such.
	leftRetention = time.Minute
	// pageRetention is how long pages include a member that died or left.
	pageRetention = 5 * time.Minute
	// clockTolerance is how far an incarnation may be ahead of the local clock.
	clockTolerance = 24 * time.Hour
)

const (
	// ticksPerRound is the number of ticks after which the kinds of probe target repeat.
	ticksPerRound = 5
	// removalTicks is the number of ticks between two removals of expired records.
	removalTicks = 25
	// successors is the number of members that a member probes in the ring of its zone.
	successors = 2
	// indirectHelpers is the number of members that receive a PingRequest for a silent target.
	indirectHelpers = 3
	// seedsPerRound is the number of seeds and dead members that a member without
	// live peers probes in each round.
	seedsPerRound = 3
	// sameZoneSuspectPings is the number of suspects of this zone that are pinged in each tick.
	sameZoneSuspectPings = 2
	// crossZoneSuspectPings is the number of suspects of other zones that are pinged in each tick.
	crossZoneSuspectPings = 1
	// sameZoneFanout is the number of members of this zone that updates are pushed to.
	sameZoneFanout = 3
	// crossZoneFanout is the number of members of other zones that a member pushes
	// its own record, and the deaths it declared itself, to.
	crossZoneFanout = 2
	// pushBurst is the number of rate-limited Push messages that may be sent at once.
	pushBurst = 10
	// pushesPerTick is the rate at which the allowance of Push messages refills.
	pushesPerTick = 0.4
	// maxPiggyback is the largest number of updates in a Ping, an Ack or a Push.
	maxPiggyback = 2
	// maxPage is the largest number of updates in a Page or a Complement.
	maxPage = 6
	// maxAdvertTransmissions is how often a member sends the same advert.
	maxAdvertTransmissions = 4
	// crossZoneAdvertLimit is the number of known members at which an advert stops
	// being gossiped outside its own zone.
	crossZoneAdvertLimit = 16
	// compareTicks is the number of ticks between two Compare messages of a
	// member that is still finding unknown members.
	compareTicks = 2
	// comparesAfterGrowth is the number of Compare messages that a member sends
	// after a Page that named unknown members.
	comparesAfterGrowth = 3
	// maxMembers is the table size at which unknown members are refused.
	maxMembers = 4096
)

// timeouts are the waiting times for one probe target, all but suspicion since the first Ping.
type timeouts struct {
	// direct is the time without an Ack after which helpers are asked, and
	// between two such attempts.
	direct time.Duration
	// probe is the time after which a silent target is suspected.
	probe time.Duration
	// suspicion is the time that a suspect has to refute before it is declared dead.
	suspicion time.Duration
}

var (
	sameZoneTimeouts  = timeouts{direct: 150 * time.Millisecond, probe: 550 * time.Millisecond, suspicion: 1200 * time.Millisecond}
	crossZoneTimeouts = timeouts{direct: 350 * time.Millisecond, probe: 1350 * time.Millisecond, suspicion: 4 * time.Second}
)

// minSuspicion is the least time to refute a suspicion that another member reports, however old it is.
const minSuspicion = tickPeriod
