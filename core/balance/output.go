package balance

// ObserveOutput records the tokens of a complete answer.
func (p *Pool) ObserveOutput(_ *Work, _ int64) {}
