package dispatch

import "time"

const (
	// priorLoad is the expected load of a job without samples, as a fraction of the load that the job can serve.
	priorLoad = 0.45
	// priorLoadVariance is the variance of priorLoad.
	priorLoadVariance = 0.03
	// loadVariancePerSecond is the rate at which the variance of a load grows between samples.
	loadVariancePerSecond = 0.01
	// maxLoadVariance is the maximum variance of a load.
	maxLoadVariance = 0.03
	// trendCorrectionRate is the ratio of the correction of the trend, per second, to the correction of the load by a sample.
	trendCorrectionRate = 0.6
	// maxTrend is the maximum change of a load per second, up or down.
	maxTrend = 0.12
	// trendDecayDuration is the time without samples in which a trend decays linearly to zero.
	trendDecayDuration = 2 * time.Second
	// maxLoad is the maximum estimated load.
	maxLoad = 0.97
)

// load is the estimated load of a job whose tasks are services, as a fraction of the load that the job can serve.
type load struct {
	estimate
	// trend is the estimated change of the load per second.
	trend float64
	// at is the time of the estimate.
	at time.Time
}

// advance moves the estimate to the given time.
func (l *load) advance(now time.Time) {
	if l.at.IsZero() {
		l.at = now
	}
	d := now.Sub(l.at).Seconds()
	if d <= 0 {
		return
	}
	l.Mean = clampLoad(l.Mean + l.trend*d)
	l.Variance = min(maxLoadVariance, l.Variance+loadVariancePerSecond*d)
	l.trend *= max(0, 1-d/trendDecayDuration.Seconds())
	l.at = now
}

// observe corrects load and trend by a sample of the utilisation: k is the slowdown factor, r the difference between the
// sample and its prediction, and v the variance of that difference.
func (l *load) observe(k, r, v float64) {
	g := l.Variance * k / v
	l.Mean = clampLoad(l.Mean + g*r)
	l.Variance = max(noiseVariance/4, l.Variance*(1-g*k))
	l.trend = min(max(l.trend+trendCorrectionRate*g*r, -maxTrend), maxTrend)
}

// predict returns the expected load at the given time.
func (l *load) predict(t time.Time) float64 {
	return clampLoad(l.Mean + l.trend*max(0, t.Sub(l.at).Seconds()))
}

func clampLoad(x float64) float64 { return min(max(x, 0.02), maxLoad) }
