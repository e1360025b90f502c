package record

// MaxTokens bounds each amount of tokens that is taken over from outside: from a caller, an
// upstream, the settings, the log or another host. The sum of 8,000 such amounts fits into Tokens,
// and a float64 holds each exactly.
const MaxTokens Tokens = 1 << 50

// Limited returns the amount, or the bound that it exceeds: MaxTokens, or the same below zero.
func (t Tokens) Limited() Tokens { return min(max(t, -MaxTokens), MaxTokens) }

// Plus returns the sum of two amounts, limited as by Limited.
func (t Tokens) Plus(other Tokens) Tokens { return (t.Limited() + other.Limited()).Limited() }

// Times returns n times an amount that is not negative, limited as by Limited.
func (t Tokens) Times(n uint64) Tokens {
	if t <= 0 || n == 0 {
		return 0
	}
	if t > MaxTokens || n > uint64(MaxTokens/t) {
		return MaxTokens
	}
	return t * Tokens(n)
}

// TokensOf returns a number as an amount, limited as by Limited. What is not a number is zero. The
// conversion of other numbers that don't fit differs between processors.
func TokensOf(n float64) Tokens {
	switch {
	case n >= float64(MaxTokens):
		return MaxTokens
	case n <= -float64(MaxTokens):
		return -MaxTokens
	case n != n:
		return 0
	}
	return Tokens(n)
}
