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
func (m *stepTimeModel) normalize(step time.Duration, batch int) time.Duration {
	if step <= 0 {
		return 0
	}
	x, y := float64(batch), float64(step)
	m.sumWeights = stepTimeDecay*m.sumWeights + 1
	m.sumX = stepTimeDecay*m.sumX + x
	m.sumY = stepTimeDecay*m.sumY + y
	m.sumXX = stepTimeDecay*m.sumXX + x*x
	m.sumXY = stepTimeDecay*m.sumXY + x*y
	expected, mean := m.predict(x)
	return time.Duration(y / expected * mean)
}

// predict returns the fitted step time at batch size x and at the mean batch
// size. Neither the slope nor the intercept is negative, because every step
// takes time.
func (m *stepTimeModel) predict(x float64) (atBatch, mean float64) {
	meanX, meanY := m.sumX/m.sumWeights, m.sumY/m.sumWeights
	slope := 0.0
	if variance := m.sumXX/m.sumWeights - meanX*meanX; variance > 1 {
		slope = max(0, (m.sumXY/m.sumWeights-meanX*meanY)/variance)
	}
	if meanX > 0 {
		slope = min(slope, meanY/meanX)
	}
	const minPredictedFraction = 0.1
	return max(meanY+slope*(x-meanX), minPredictedFraction*meanY), meanY
}
