package admission

import "time"

// paceMemory is the part of the old sums kept at each report: with two reports
// a second of each of four targets, about the last half minute.
const paceMemory = 0.996

// pace takes the size of the batch out of step times, so that targets with
// unlike loads can be compared. A step takes longer the more sequences it
// serves: an engine that was just refilled would look slow beside one that was
// just emptied, and be kept from work for it. The step time is fitted by a
// line over the batch size, by least squares over the pool's reports.
type pace struct {
	weight, x, y, xx, xy float64
}

// normal gives the step time that the target would show with the pool's mean
// batch. 0 stays 0: the target doesn't say.
func (p *pace) normal(step time.Duration, batch int) time.Duration {
	if step <= 0 {
		return 0
	}
	x, y := float64(batch), float64(step)
	p.weight = paceMemory*p.weight + 1
	p.x = paceMemory*p.x + x
	p.y = paceMemory*p.y + y
	p.xx = paceMemory*p.xx + x*x
	p.xy = paceMemory*p.xy + x*y
	expected, mean := p.expect(x)
	return time.Duration(y / expected * mean)
}

// expect gives the fitted step time at a batch, and at the mean batch. The
// slope is never negative, and the intercept neither: steps cost something.
func (p *pace) expect(x float64) (at, mean float64) {
	meanX, meanY := p.x/p.weight, p.y/p.weight
	slope := 0.0
	if spread := p.xx/p.weight - meanX*meanX; spread > 1 {
		slope = max(0, (p.xy/p.weight-meanX*meanY)/spread)
	}
	if meanX > 0 {
		slope = min(slope, meanY/meanX)
	}
	const least = 0.1
	return max(meanY+slope*(x-meanX), least*meanY), meanY
}
