package bytebudget

import (
	"strconv"
	"sync/atomic"
)

// Budget is a number of bytes that accounts share. It is safe for concurrent use.
type Budget struct {
	total int64
	used  atomic.Int64
}

// New returns a budget of total bytes.
func New(total int64) *Budget { return &Budget{total: total} }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// ExceededError reports a reservation that exceeds what one header or body may hold at the moment.
type ExceededError struct {
	// Held is the number of bytes that the account would have held, Used and Total are
	// those of the budget.
	Held, Used, Total int64
}

func (e *ExceededError) Error() string {
	return "a header or body of " + strconv.FormatInt(e.Held, 10) + " bytes exceeds its part of the memory: " +
		strconv.FormatInt(e.Used, 10) + " of " + strconv.FormatInt(e.Total, 10) + " bytes are in use"
}

// Never reports whether the reservation would fail even if nothing else was in use.
func (e *ExceededError) Never() bool { return e.Held > e.Total/2 }

// Account holds the reservation of one header or body. It is not safe for concurrent use.
type Account struct {
	budget *Budget
	held   int64
}

// Open returns an account without reservation. A nil Budget has no bound.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Reserve raises the reservation by n bytes. It returns a *ExceededError and reserves
// nothing if the account would hold more than what is left for the others.
//
// Invariant: the reservations of all accounts add up to at most total, and a
// reservation leaves at least as many bytes free as its account then holds. So k
// accounts that reserve without end leave at least total/2^k, and each of them fails
// once it has reached its bound.
func (a *Account) Reserve(n int64) error {
	if a.budget == nil {
		return nil
	}
	for {
		used := a.budget.used.Load()
		if a.held+n > a.budget.total-used-n {
			return &ExceededError{Held: a.held + n, Used: used, Total: a.budget.total}
		}
		if a.budget.used.CompareAndSwap(used, used+n) {
			a.held += n
			return nil
		}
	}
}

// Release returns the whole reservation. It may be called again.
func (a *Account) Release() { a.giveBack(a.held) }

// giveBack returns n bytes of the reservation.
func (a *Account) giveBack(n int64) {
	if a.budget != nil {
		a.budget.used.Add(-n)
	}
	a.held -= n
}
