package admission

import "time"

// stepTimeDecay is the weight of the old sums at each report. With two reports
// per second from each of four targets the sums cover about the last 30
// seconds.
const stepTimeDecay = 0.996

// stepTimeModel removes the effect of the batch size from step times, so that
// targets with different loads can be compared. A step takes longer the more
// sequences are in the batch: an engine that was just refilled would appear
// slow compared with one that was just drained, and would be denied work. The
// model is a line of step time over batch size, fitted by least squares to the
// pool's reports with exponential decay.
type stepTimeModel struct {
	sumWeights, sumX, sumY, sumXX, sumXY float64
}

// normalize returns the step time that the target would have with the pool's
// mean batch size. A step time of 0 is not reported and stays 0.
func (p *stepTimeModel) normalize(step time.Duration, batch int) time.Duration {
	if step <= 0 {
		return 0
	}
	x, y := float64(batch), float64(step)
	p.sumWeights = stepTimeDecay*p.sumWeights + 1
	p.sumX = stepTimeDecay*p.sumX + x
	p.sumY = stepTimeDecay*p.sumY + y
	p.sumXX = stepTimeDecay*p.sumXX + x*x
	p.sumXY = stepTimeDecay*p.sumXY + x*y
	expected, mean := p.predict(x)
	return time.Duration(y / expected * mean)
}

// predict returns the fitted step time at batch size x and at the mean batch
// size. Neither the slope nor the intercept is negative, because every step
// takes time.
func (p *stepTimeModel) predict(x float64) (atBatch, mean float64) {
	meanX, meanY := p.sumX/p.sumWeights, p.sumY/p.sumWeights
	slope := 0.0
	if variance := p.sumXX/p.sumWeights - meanX*meanX; variance > 1 {
		slope = max(0, (p.sumXY/p.sumWeights-meanX*meanY)/variance)
	}
	if meanX > 0 {
		slope = min(slope, meanY/meanX)
	}
	const minFraction = 0.1
	return max(meanY+slope*(x-meanX), minFraction*meanY), meanY
}
