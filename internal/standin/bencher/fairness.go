package bencher

// entitlements returns the max-min fair allocation, weighted by share, of each
// organisation at an offered load, as parts of the bound: what it offers, or its
// weighted part of what the others leave.
func (b *Bencher) entitlements(rate float64) []float64 {
	orgs := b.cfg.Organisations
	due := make([]float64, len(orgs))
	settled := make([]bool, len(orgs))
	remaining := 1.0
	for {
		weight := 0.0
		for i, o := range orgs {
			if !settled[i] {
				weight += o.Share
			}
		}
		changed := false
		level := ratio(remaining, weight)
		for i, o := range orgs {
			if settled[i] {
				continue
			}
			due[i] = o.Share * level
			if o.Offered*rate <= due[i] {
				due[i] = o.Offered * rate
				settled[i] = true
				changed = true
			}
		}
		if !changed {
			return due
		}
		remaining = 1
		for i := range orgs {
			if settled[i] {
				remaining -= due[i]
			}
		}
	}
}

// jain returns Jain's fairness index of the ratios of served to due throughput.
func jain(served, due []float64) float64 {
	sum, squares := 0.0, 0.0
	for i := range served {
		x := ratio(served[i], due[i])
		sum += x
		squares += x * x
	}
	return ratio(sum*sum, float64(len(served))*squares)
}
