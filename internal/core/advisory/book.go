package advisory

import "github.com/burdockfold/burdockfold/internal/core/ident"

// Book keeps the advisories of the servers that answered requests which began at this
// daemon, by host. It is not safe for concurrent use.
type Book struct {
	byHost map[ident.Host]Advisory
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byHost: make(map[ident.Host]Advisory)} }

// Record records what came with an answer from a host. Without an advisory, what was
// known ends if the server itself has answered: the daemon beside it may have been
// restarted and know nothing yet.
func (b *Book) Record(h ident.Host, a *Advisory, serverAnswered bool) {
	switch {
	case a != nil:
		b.byHost[h] = *a
	case serverAnswered:
		delete(b.byHost, h)
	}
}

// Of returns what is known of the server on a host, nil if nothing is.
func (b *Book) Of(h ident.Host) *Advisory {
	a, ok := b.byHost[h]
	if !ok {
		return nil
	}
	return &a
}
