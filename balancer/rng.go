package balancer

// splitMix64 is a SplitMix64 pseudorandom number generator (Steele, Lea and Flood, 2014). Its value is the
// state of the generator.
type splitMix64 uint64

// next returns the next 64 random bits.
func (s *splitMix64) next() uint64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// uniform returns a uniformly distributed random number in [0,1).
func (s *splitMix64) uniform() float64 { return float64(s.next()>>11) / (1 << 53) }

// duration returns a uniformly distributed random duration in [0,d).
func (s *splitMix64) duration(d Micros) Micros { return Micros(s.uniform() * float64(d)) }

// uniformHash returns a hash of a key and a name, uniformly distributed in (0,1), for rendezvous hashing.
func uniformHash(key, name uint64) float64 {
	s := splitMix64(key)
	s = splitMix64(s.next() ^ name)
	return s.uniform() + 1.0/(1<<54)
}
