package interference

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// contrast is the evidence of one step for a pair.
type contrast struct {
	weight, value float64
	buckets       [numBuckets]share // by worker
}

// share sums up the runs on the workers of a bucket: those apart and those beside. Residuals
// are relative to the mean of the other runs of the step that are apart.
type share struct {
	n, sum [2]float64
}

// contrast returns the weight and the mean of the runs beside minus those apart.
func (s *share) contrast() (weight, mean float64) {
	if s.n[0] == 0 || s.n[1] == 0 {
		return 0, 0
	}
	return s.n[0] * s.n[1] / (s.n[0] + s.n[1]), s.sum[1]/s.n[1] - s.sum[0]/s.n[0]
}

// contrast compares the runs beside kind b with those apart from it. Both must exist.
func (d *Detector) contrast(a, b int, runs []Run) (c contrast) {
	bit := Set(1) << b
	residuals := make([]float64, len(runs))
	for i, r := range runs {
		residuals[i] = r.Residual - d.logFactor(a, r.Beside&^bit)
	}
	mid := median(residuals)
	var n, sum [2]float64
	for i, r := range runs {
		residuals[i] = max(-maxResidual, min(maxResidual, residuals[i]-mid))
		side := int(r.Beside & bit >> b)
		n[side]++
		sum[side] += residuals[i]
	}
	meanApart := sum[0] / n[0]
	c.weight, c.value = n[0]*n[1]/(n[0]+n[1]), sum[1]/n[1]-meanApart
	for i, r := range runs {
		s := &c.buckets[bucket(r.Worker)]
		switch {
		case r.Beside&bit != 0:
			s.n[1]++
			s.sum[1] += residuals[i] - meanApart
		case n[0] > 1:
			s.n[0]++
			s.sum[0] += residuals[i] - (sum[0]-residuals[i])/(n[0]-1)
		}
	}
	return c
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func bucket(worker string) int {
	h := fnv.New32a()
	h.Write([]byte(worker))
	sum := h.Sum32()
	return int((sum ^ sum>>16) % numBuckets) // the low bits of FNV alone differ little between similar names
}

// add adds the evidence of a step.
func (p *evidence) add(now time.Time, c *contrast) {
	p.steps = p.steps*decay + 1
	p.weight = p.weight*decay + c.weight
	p.sum = p.sum*decay + c.weight*c.value
	p.squares = p.squares*decay + c.weight*c.value*c.value
	for i := range p.buckets {
		s, add := &p.buckets[i], &c.buckets[i]
		for side := range s.n {
			s.n[side] = s.n[side]*decay + add.n[side]
			s.sum[side] = s.sum[side]*decay + add.sum[side]
		}
	}
	p.jobs++
	p.lastEvidence = now
}

// estimate returns the mean contrast and its standard error.
func (p *evidence) estimate() (mean, stdErr float64) {
	mean = p.sum / p.weight
	variance := max((p.squares-p.weight*mean*mean)/max(p.steps-1, 1), minVariance)
	return mean, math.Sqrt(variance / p.weight)
}

// isWidespread reports whether workers of enough buckets show a slowdown, each against the
// runs apart on the workers of the same bucket.
func (p *evidence) isWidespread() bool {
	var weights, means [numBuckets]float64
	n, used, total, sum, positive, largest := 0, 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range p.buckets {
		w, m := p.buckets[i].contrast()
		weights[i], means[i] = w, m
		if w == 0 {
			continue
		}
		used++
		total += w
		sum += w * m
		if m > 0 {
			n++
			positive += w * m
			largest = max(largest, w*m)
		}
	}
	if n < minBuckets || largest > maxBucketShare*positive {
		return false
	}
	mean, variance := sum/total, 0.0
	for i, w := range weights {
		diff := w * (means[i] - mean)
		variance += diff * diff
	}
	// A few buckets may agree by chance, so the error is at least that of single runs.
	_, ofAll := p.estimate()
	stdErr := max(math.Sqrt(variance*used/(used-1))/total, ofAll*math.Sqrt(p.weight/total))
	return mean >= minFound && mean >= minBucketZ*stdErr
}

// judge decides whether a pair with new evidence is found or dropped.
func (d *Detector) judge(p *evidence, changes *[]Change) {
	if p.steps < minSteps {
		return
	}
	mean, stdErr := p.estimate()
	z := mean / stdErr
	switch {
	case mean >= minFound && z >= foundZ && p.isWidespread():
		p.logFactor, p.z, p.imported = mean, z, false
		d.set(p, true, changes)
	case p.imported && mean+contradictsByZ*stdErr < minDropped, p.found && !p.imported && (mean < minDropped || z < droppedZ):
		p.logFactor, p.z, p.imported = mean, z, false
		d.set(p, false, changes)
	case p.found && !p.imported:
		p.logFactor, p.z = mean, z
	}
}

// set records whether a pair is found.
func (d *Detector) set(p *evidence, found bool, changes *[]Change) {
	if p.found == found {
		return
	}
	p.found = found
	if found {
		d.found++
		d.slowedBy[p.kind] |= 1 << p.beside
		d.slows[p.beside] |= 1 << p.kind
	} else {
		d.found--
		d.slowedBy[p.kind] &^= 1 << p.beside
		d.slows[p.beside] &^= 1 << p.kind
	}
	*changes = append(*changes, Change{d.export(p), found, p.jobs})
}

// pair returns the evidence of a pair. A new one replaces that with the least evidence, of
// those that are not found if there are any.
func (d *Detector) pair(a, b int, changes *[]Change) *evidence {
	if p := d.index[a][b]; p != nil {
		return p
	}
	if len(d.pairs) == maxPairs {
		least := 0
		for i, p := range d.pairs {
			if o := d.pairs[least]; o.found && !p.found || o.found == p.found && p.weight < o.weight {
				least = i
			}
		}
		p := d.pairs[least]
		d.set(p, false, changes)
		d.index[p.kind][p.beside] = nil
		d.pairs = slices.Delete(d.pairs, least, least+1)
	}
	p := &evidence{kind: a, beside: b}
	d.index[a][b] = p
	d.pairs = append(d.pairs, p)
	return p
}

func (d *Detector) export(p *evidence) Pair {
	return Pair{d.kinds[p.kind], d.kinds[p.beside], math.Exp(p.logFactor), p.z}
}

// Export returns the found pairs with the highest confidence, at most limit.
func (d *Detector) Export(limit int) (pairs []Pair) {
	if d.found == 0 {
		return nil
	}
	for _, p := range d.pairs {
		if p.found {
			pairs = append(pairs, d.export(p))
		}
	}
	slices.SortStableFunc(pairs, func(a, b Pair) int {
		switch {
		case a.Confidence > b.Confidence:
			return -1
		case a.Confidence < b.Confidence:
			return 1
		}
		return 0
	})
	return pairs[:min(limit, len(pairs))]
}

// Valid reports whether a pair that another process has sent is in range.
func (p Pair) Valid() bool {
	return p.Kind != "" && p.Beside != "" && len(p.Kind) <= maxNameBytes && len(p.Beside) <= maxNameBytes &&
		p.Factor >= 1 && p.Factor <= maxFactor && p.Confidence >= 0 && p.Confidence <= maxConfidence
}

// Import takes the pairs of another Detector. They count as found until own evidence
// contradicts them, or for importedExpiry without evidence. Invalid pairs are ignored, and
// so are those of which there is own evidence.
func (d *Detector) Import(now time.Time, pairs []Pair) (changes []Change) {
	for _, q := range pairs {
		a, okA := d.id(q.Kind)
		b, okB := d.id(q.Beside)
		if !q.Valid() || !okA || !okB || d.index[a][b] != nil {
			continue
		}
		p := d.pair(a, b, &changes)
		p.imported, p.logFactor, p.z, p.lastEvidence = true, math.Log(q.Factor), q.Confidence, now
		d.set(p, true, &changes)
	}
	return changes
}
