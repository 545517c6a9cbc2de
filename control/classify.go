package control

import "time"

// attemptClassifier distinguishes first attempts of clients from their retries and estimates how long a
// client has waited. A retry is recognized by the client's mark or, where clients do not mark retries, by a
// time left that is unusual for its class.
type attemptClassifier struct {
	env     *environment
	byClass map[*Class]*usualTimeLeft
	// shortestRetry is the shortest time observed from a client's first attempt to its retry.
	shortestRetry time.Duration
}

// usualTimeLeft holds the time left that most first attempts of a class arrive with. It also holds the most
// frequent one among the other attempts, as some clients have a shorter deadline than most. Both are found by
// majority vote: a matching attempt adds a vote, any other one removes a vote.
type usualTimeLeft struct {
	timeLeft       time.Duration // time left of most first attempts
	votes          int           // votes for timeLeft
	recurring      time.Duration // most frequent time left among the others
	recurringVotes int           // votes for recurring
}

const (
	initialShortestRetry = time.Second
	// timeLeftTolerance is the maximum difference between the times left of two first attempts of a class.
	timeLeftTolerance = 100 * time.Millisecond
	// recurringTolerance is the maximum difference between two recurring times left.
	recurringTolerance = 3 * time.Millisecond
	minRecurringVotes  = 4  // votes from which a recurring time left is that of first attempts
	maxRecurringVotes  = 50 // maximum votes that are counted
)

func newAttemptClassifier(env *environment) attemptClassifier {
	c := attemptClassifier{env: env, byClass: map[*Class]*usualTimeLeft{}, shortestRetry: initialShortestRetry}
	for i := range env.settings.Classes {
		c.byClass[&env.settings.Classes[i]] = &usualTimeLeft{}
	}
	return c
}

// clientWaitTime returns how long the client of a request has waited so far. For a retry that is the class's
// deadline less the time left. The client of a first attempt has waited only if this process was suspended:
// the attempt then has less time left than usual, by at most the time since the last event, and is not taken
// for a retry.
func (c *attemptClassifier) clientWaitTime(e Request, class *Class) time.Duration {
	usual := c.byClass[class]
	missing := usual.timeLeft - e.TimeLeft
	unusual := missing > max(c.env.sinceLastEvent, timeLeftTolerance) || missing < -timeLeftTolerance
	inferredRetry := unusual && usual.votes > 0 && !c.env.settings.ClientsMarkRetries
	if inferredRetry && !e.Retry && c.hasShortDeadline(usual, e.TimeLeft, class) {
		return 0
	}
	if !e.Retry {
		usual.observe(e.TimeLeft, unusual)
	}
	sinceFirst := class.Deadline - e.TimeLeft
	switch {
	case !e.Retry && !inferredRetry:
		return min(max(missing, 0), c.env.sinceLastEvent)
	case !unusual: // a marked retry with the time left of a first attempt: its client has another deadline
		return min(c.shortestRetry, sinceFirst)
	}
	c.shortestRetry = min(c.shortestRetry, sinceFirst)
	return sinceFirst
}

// hasShortDeadline reports whether an attempt with an unusual time left is the first one of a client whose
// deadline is shorter than that of most clients. The time left of such attempts recurs, while that of retries
// varies with the earlier responses. The exception is a retry by a client that followed the Retry-After of a
// rejection, received at once or after the wait for a dispatch slot: its time left may recur as well, so it
// is never taken for a first attempt.
func (c *attemptClassifier) hasShortDeadline(
	usual *usualTimeLeft, timeLeft time.Duration, class *Class,
) bool {
	sinceAdvised := class.Deadline - timeLeft - c.env.settings.RetryAfter()
	longestQueueTime := time.Duration(maxSlotQueueFraction * float64(class.LatencyObjective))
	if timeLeft > usual.timeLeft || (sinceAdvised >= 0 && sinceAdvised < longestQueueTime+timeLeftTolerance) {
		return false
	}
	usual.observeRecurring(timeLeft)
	return usual.isRecurring(timeLeft) && usual.recurringVotes >= minRecurringVotes
}

// observe updates the time left that most attempts have.
func (u *usualTimeLeft) observe(timeLeft time.Duration, unusual bool) {
	if unusual && u.votes == 0 {
		u.timeLeft = timeLeft
	} else if unusual {
		u.votes -= 2
	}
	u.votes++
}

// observeRecurring updates the time left that most of the other attempts have.
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

// isRecurring reports whether the time left matches the recurring one.
func (u *usualTimeLeft) isRecurring(timeLeft time.Duration) bool {
	return u.recurringVotes > 0 && (timeLeft-u.recurring).Abs() <= recurringTolerance
}
