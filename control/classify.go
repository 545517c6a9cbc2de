package control

import "time"

// attemptClassifier tells first attempts of clients from their retries, and how long a client has waited
// so far. A retry is known by its mark, or, where clients don't mark them, by a time left that is unusual
// for its class.
type attemptClassifier struct {
	env     *environment
	byClass map[*Class]*usualTimeLeft
	// shortestRetry is the shortest time seen from a client's first attempt to its retry.
	shortestRetry time.Duration
}

// usualTimeLeft is the time left that most first attempts of a class come with, and the one that recurs
// most among the others: some clients give up sooner than most.
type usualTimeLeft struct {
	timeLeft       time.Duration
	votes          int // attempts that had it, less those that had not
	recurring      time.Duration
	recurringVotes int // other attempts that had recurring, less those that had not
}

const (
	initialShortestRetry = time.Second
	// timeLeftTolerance is by how much the times left of two first attempts of a class may differ.
	timeLeftTolerance = 100 * time.Millisecond
	// recurringTolerance is by how much two recurring times may differ.
	recurringTolerance = 3 * time.Millisecond
	minRecurringVotes  = 4  // attempts from which a recurring time is one of first attempts
	maxRecurringVotes  = 50 // that are counted
)

func newAttemptClassifier(env *environment) attemptClassifier {
	c := attemptClassifier{env: env, byClass: map[*Class]*usualTimeLeft{}, shortestRetry: initialShortestRetry}
	for i := range env.settings.Classes {
		c.byClass[&env.settings.Classes[i]] = &usualTimeLeft{}
	}
	return c
}

// clientWaitTime returns how long the client of a request has waited, for earlier attempts or for this node:
// the deadline over all attempts less the time left. A node that stood still finds first attempts late: those
// lack what its clock skipped.
func (c *attemptClassifier) clientWaitTime(e Request, class *Class) time.Duration {
	usual := c.byClass[class]
	missing := usual.timeLeft - e.TimeLeft
	unusual := missing > max(c.env.sinceLastEvent, timeLeftTolerance) || missing < -timeLeftTolerance
	guessed := unusual && usual.votes > 0 && !c.env.settings.ClientsMarkRetries
	if guessed && !e.Retry && c.hasShortDeadline(usual, e.TimeLeft, class) {
		return 0
	}
	if !e.Retry {
		usual.observe(e.TimeLeft, unusual)
	}
	sinceFirst := class.Deadline - e.TimeLeft
	switch {
	case !e.Retry && !guessed:
		return min(max(missing, 0), c.env.sinceLastEvent)
	case !unusual: // as long as a first attempt's: its client has another deadline
		return min(c.shortestRetry, sinceFirst)
	}
	c.shortestRetry = min(c.shortestRetry, sinceFirst)
	return sinceFirst
}

// hasShortDeadline reports whether an attempt with an unusual time left is the first one of a client that
// gives up sooner than most. The times of retries vary with the answers before them, except where a
// rejection, at once or after the wait for a dispatch slot, advised when to come back.
func (c *attemptClassifier) hasShortDeadline(
	usual *usualTimeLeft, timeLeft time.Duration, class *Class,
) bool {
	sinceAdvised := class.Deadline - timeLeft - c.env.retryAfter()
	longestQueueTime := time.Duration(maxSlotQueueFraction * float64(class.LatencyObjective))
	if timeLeft > usual.timeLeft || (sinceAdvised >= 0 && sinceAdvised < longestQueueTime+timeLeftTolerance) {
		return false
	}
	usual.observeRecurring(timeLeft)
	return usual.isRecurring(timeLeft) && usual.recurringVotes >= minRecurringVotes
}

// observe follows the time left that most attempts have.
func (u *usualTimeLeft) observe(timeLeft time.Duration, unusual bool) {
	if unusual && u.votes == 0 {
		u.timeLeft = timeLeft
	} else if unusual {
		u.votes -= 2
	}
	u.votes++
}

// observeRecurring follows the time left that most of the others have.
func (u *usualTimeLeft) observeRecurring(timeLeft time.Duration) {
	switch {
	case u.isRecurring(timeLeft):
		u.recurringVotes = min(u.recurringVotes+1, maxRecurringVotes)
	case u.recurringVotes > 0:
		u.recurringVotes--
	default:
		u.recurring = timeLeft
		u.recurringVotes = 1
	}
}

func (u *usualTimeLeft) isRecurring(timeLeft time.Duration) bool {
	return u.recurringVotes > 0 && (timeLeft-u.recurring).Abs() <= recurringTolerance
}
