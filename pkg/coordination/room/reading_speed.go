package room

import (
	"math"
	"time"
)

// ReadingSpeed estimates how long the engines of a service take from a grant to
// the first event, from the prompt tokens that they have to read until then. The
// time grows by a learned time per token from a learned base, which holds the
// step of the running streams and the way of the messages. It is not safe for
// concurrent use.
type ReadingSpeed struct {
	// weight is the decayed number of readings. The others are their decayed moments,
	// with tokens as x and milliseconds as y.
	weight, meanX, meanY, varX, varY, covariance float64
	// slope and slopeError are the regression of the readings. They are kept since a
	// decision needs them some hundred times.
	slope, slopeError float64
	// runs is the decayed number of streams that ended, eventTime the mean of their
	// times between two events in milliseconds, and outputShare that of their output
	// tokens as a share of those that they had stated.
	runs, eventTime, outputShare float64
	// largestOutput is the decayed maximum of their output tokens.
	largestOutput float64
}

const (
	// readingRetention is the weight of the past in the moments: about the last 100
	// readings count.
	readingRetention = 0.99
	// minReadings is the number of readings from which the estimate is used. Before,
	// prompts are limited by their number.
	minReadings = 8
	// priorShare is the standard deviation of the time per token before any reading,
	// as a share of its upper bound. Prompts of nearly one length don't show the time
	// per token; the estimate then stays at the bound, at which the base is 0.
	priorShare = 0.5
	// minPerTokenShare bounds the time per token from below, as a share of its upper
	// bound, against readings that happen to show none.
	minPerTokenShare = 0.05
	// stepShare is the part of the base that counts as a step while none was
	// reported. A prompt waits for half a step in the mean, takes one, and its
	// messages pass four links.
	stepShare = 0.6
	// outputMargin multiplies the mean share of the stated output tokens, since requests
	// differ in it.
	outputMargin = 1.25
	// outlierFactor bounds one reading, or the time between the events of one stream, as a
	// multiple of the expected time.
	outlierFactor = 3
)

// observe adds the time from a grant to the first event of a request, with the
// tokens that the engine had to read until then.
func (s *ReadingSpeed) observe(tokens float64, took time.Duration) {
	y := milliseconds(took)
	if s.known() {
		y = min(y, outlierFactor*s.expected(tokens))
	}
	s.weight = readingRetention*s.weight + 1
	a := 1 / s.weight
	dx, dy := tokens-s.meanX, y-s.meanY
	s.meanX += a * dx
	s.meanY += a * dy
	s.varX = (1 - a) * (s.varX + a*dx*dx)
	s.varY = (1 - a) * (s.varY + a*dy*dy)
	s.covariance = (1 - a) * (s.covariance + a*dx*dy)
	s.slope, s.slopeError = s.regression()
}

// known reports whether there are enough readings for an estimate.
func (s *ReadingSpeed) known() bool { return s.weight >= minReadings && s.meanX > 0 && s.meanY > 0 }

// perToken returns the milliseconds that a prompt token takes: the regression of
// the readings, drawn to its upper bound by as much as they are too few or too
// much alike to show it.
func (s *ReadingSpeed) perToken() float64 { return s.slope }

// slowPerToken is perToken with its standard error added.
func (s *ReadingSpeed) slowPerToken() float64 {
	return min(s.slope+s.slopeError, s.meanY/s.meanX)
}

func (s *ReadingSpeed) regression() (slope, standardError float64) {
	bound := s.meanY / s.meanX
	if s.varX <= 0 {
		return bound, 0
	}
	residual := max(s.varY-s.covariance*s.covariance/s.varX, 0)
	prior := residual / (s.weight * math.Pow(priorShare*bound, 2))
	slope = (s.covariance + prior*bound) / (s.varX + prior)
	return min(max(slope, minPerTokenShare*bound), bound), math.Sqrt(residual / (s.weight * (s.varX + prior)))
}

// base returns the milliseconds to the first event of a prompt without tokens.
func (s *ReadingSpeed) base() float64 { return max(s.meanY-s.perToken()*s.meanX, 0) }

// expected returns the milliseconds from a grant to the first event, behind the given
// number of prompt tokens.
func (s *ReadingSpeed) expected(tokens float64) float64 { return s.base() + s.perToken()*tokens }

// observeRun adds a stream that ran to its end and whose events hold the given number of
// tokens.
func (s *ReadingSpeed) observeRun(events, eventTokens int, ran time.Duration, statedOutput int64) {
	if events < 2 || ran <= 0 || ran > maxRun || statedOutput <= 0 {
		return
	}
	eventTime := milliseconds(ran) / float64(events-1)
	if s.runs >= minReadings {
		eventTime = min(eventTime, outlierFactor*s.eventTime)
	}
	s.runs = readingRetention*s.runs + 1
	s.eventTime += (eventTime - s.eventTime) / s.runs
	output := min(float64(events)*float64(eventTokens), float64(statedOutput))
	s.outputShare += (output/float64(statedOutput) - s.outputShare) / s.runs
	s.largestOutput = max(output, readingRetention*s.largestOutput)
}

// stepTime returns the milliseconds of a step in which no prompt is read, for engines
// that make an event in the given number of steps.
func (s *ReadingSpeed) stepTime(eventSteps int) float64 {
	step := stepShare * s.base()
	if s.runs >= minReadings {
		// The time between two events contains the prompts read between them.
		step = min(step, s.eventTime/float64(eventSteps))
	}
	return step
}

// betweenEvents returns the milliseconds between two events of a stream, for engines
// that make an event in the given number of steps.
func (s *ReadingSpeed) betweenEvents(eventSteps int) float64 {
	if s.runs >= minReadings {
		return s.eventTime
	}
	return float64(eventSteps) * stepShare * s.base()
}

// expectedOutput returns how many tokens a request puts out that has stated at most
// the given number. One that states far more than others is not expected to put out
// more than the largest of them did; it would keep them all from its engine.
func (s *ReadingSpeed) expectedOutput(stated int64) float64 {
	if !s.knowsOutput() {
		return float64(stated)
	}
	return min(outputMargin*s.outputShare*float64(stated), float64(stated), outputMargin*s.largestOutput)
}

// knowsOutput reports whether enough requests have run to their end.
func (s *ReadingSpeed) knowsOutput() bool { return s.runs >= minReadings }

// Speed is the state of a ReadingSpeed for logs.
type Speed struct {
	// Readings is the decayed number of first events; the times are 0 while there are too
	// few of them.
	Readings float64
	// PerThousandTokens, Base and Step are the times for 1,000 prompt tokens, for the
	// first event of a prompt without tokens, and for a step without prompts.
	PerThousandTokens, Base, Step time.Duration
}

// Speed returns the state of the estimate, for engines that make an event in the given
// number of steps.
func (s *ReadingSpeed) Speed(eventSteps int) Speed {
	if !s.known() {
		return Speed{Readings: s.weight}
	}
	return Speed{Readings: s.weight, PerThousandTokens: fromMilliseconds(1000 * s.perToken()), Base: fromMilliseconds(s.base()), Step: fromMilliseconds(s.stepTime(eventSteps))}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
