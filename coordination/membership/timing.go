package membership

import "time"

const (
	// tickPeriod is the time between two steps of a member; each sends one probe at most.
	tickPeriod = 200 * time.Millisecond
	// pauseGap is the time without a step after which the process counts as paused.
	pauseGap = time.Second
	// settleTime is how long a member that started or was paused listens
	// before it may conclude that its zone has no other member.
	settleTime = 1500 * time.Millisecond
	// freshFor is how long an acknowledgement keeps the view fresh.
	freshFor = 3 * time.Second
	// deadRetention is how long a dead member is remembered and probed, so
	// that views meet again after a partition.
	deadRetention = 3 * time.Hour
	// leftRetention is how long a member that left is remembered, so that
	// older news about it is recognised.
	leftRetention = time.Minute
	// recentChange is how long a death or departure is repeated in pages.
	recentChange = 5 * time.Minute
	// clockTolerance is how far ahead of this clock an incarnation may be.
	clockTolerance = 24 * time.Hour
)

const (
	// ticksPerRound is the number of steps after which the choice of targets repeats.
	ticksPerRound = 5
	// forgetTicks is the number of steps between two looks for members to forget.
	forgetTicks = 25
	// successors is the number of members of its zone that a member watches.
	successors = 2
	// helpers is the number of members asked for an indirect probe.
	helpers = 3
	// seedsPerRound is the number of seeds asked at once by a member that knows nobody.
	seedsPerRound = 3
	// nearReminders is the number of suspects of the zone that are told in each step.
	nearReminders = 2
	// farReminders is the number of suspects of other zones that are told in each step.
	farReminders = 1
	// pushFanout is the number of members of the zone that get news at once.
	pushFanout = 3
	// farFanout is the number of members of other zones that get first-hand news at once.
	farFanout = 2
	// pushBurst is the number of datagrams with news that may leave at once.
	pushBurst = 10
	// pushesPerTick is how many of these become available again in each step.
	pushesPerTick = 0.4
	// maxPiggyback is the number of updates on a probe or its acknowledgement.
	maxPiggyback = 2
	// maxPage is the number of updates in a page of the table.
	maxPage = 6
	// advertTransmissions is how often a member passes on another's advert.
	advertTransmissions = 4
	// fewMembers is the number of members below which adverts travel through all zones.
	fewMembers = 16
	// pullTicks is the number of steps between two pages that a member asks
	// for while it finds unknown members.
	pullTicks = 2
	// pullsAfterGrowth is the number of pages that a member asks for after one
	// that named unknown members.
	pullsAfterGrowth = 3
	// maxMembers is the size of the table above which unknown members are refused.
	maxMembers = 4096
)

// timeouts says how patient a member is with a target.
type timeouts struct {
	// direct is the time after which helpers are asked.
	direct time.Duration
	// probe is the time after which the target is suspected.
	probe time.Duration
	// suspicion is the time that a suspect has to refute.
	suspicion time.Duration
}

var (
	nearTimeouts = timeouts{direct: 150 * time.Millisecond, probe: 550 * time.Millisecond, suspicion: 1200 * time.Millisecond}
	farTimeouts  = timeouts{direct: 350 * time.Millisecond, probe: 1350 * time.Millisecond, suspicion: 4 * time.Second}
)

// minRefutation is the time that a suspect has at least, however old the suspicion is.
const minRefutation = tickPeriod
