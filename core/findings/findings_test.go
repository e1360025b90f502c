package findings

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestListSortsAndRemovesDuplicates(t *testing.T) {
	var l List
	require.NoError(t, l.Err())
	l.Addf(Position{"b", 1, 1}, "p", "late")
	l.Addf(Position{"a", 2, 9}, "q", "two")
	l.Addf(Position{"a", 2, 3}, "", "one")
	l.Addf(Position{"a", 2, 3}, "", "one")
	l.AddError(fmt.Errorf("wrapped: %w", &Error{Findings: []Finding{{Path: "r", Message: "other"}}}))
	l.AddError(errors.New("plain"))
	l.AddError(nil)
	require.EqualError(t, l.Err(), "plain\nr: other\na:2:3: one\na:2:9: q: two\nb:1:1: p: late")
}
