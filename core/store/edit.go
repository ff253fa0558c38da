package store

import (
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Base is the newest content with its operator number, on which edits are based; it is immutable.
type Base struct {
	number  uint64
	content *content
}

// Base returns the newest content, on which the next numbered change must build.
func (s *Store) Base() Base { return Base{number: s.newestChange().GetNumber(), content: s.content} }

// EncodeEdit replaces the whole content of a change by an edit of the base, so that the log carries only the differences. It
// returns c itself if c does not replace the whole content, if the base has no number or c builds on another number, or if an
// edit would be no shorter or would not reproduce the content exactly.
func (b Base) EncodeEdit(c *wire.Change) *wire.Change {
	w := c.GetContent()
	if w == nil || b.number == 0 || c.GetBuilds() != b.number {
		return c
	}
	e := &wire.Edit{Digest: []byte(bodyDigest(c)), Frame: &wire.Content{Register: w.GetRegister(), Bounds: w.GetBounds()}}
	if e.Customers = sameCustomers(w.GetCustomers(), b.content.customers.GetCustomers()); !e.Customers {
		e.Frame.Customers = w.GetCustomers()
	}
	for i, r := range w.GetSets() {
		e.Frame.Sets = append(e.Frame.Sets, &wire.RuleSet{Set: r.GetSet(), Limits: r.GetLimits(), Drains: r.GetDrains()})
		e.Spans = append(e.Spans, routeSpans(uint32(i), b.content.routes(r.GetSet()), r.GetRoutes())...)
	}
	change := &wire.Change{
		Id: c.GetId(), Base: c.GetBase(), Author: c.GetAuthor(), Reason: c.GetReason(), Number: c.GetNumber(), Builds: c.GetBuilds(),
		Body: &wire.Change_Edit{Edit: e},
	}
	if proto.Size(change) >= proto.Size(c) || b.content.expand(change) == nil {
		return c
	}
	return change
}

// routeSpans encodes routes as runs of routes that are equal in the base and routes that are new or differ from it.
func routeSpans(set uint32, base, routes []*wire.Route) []*wire.Span {
	positions := make(map[string]int, len(base))
	for i, r := range base {
		positions[r.GetName()] = i
	}
	var list []*wire.Span
	var last *wire.Span
	for _, r := range routes {
		at, ok := positions[r.GetName()]
		ok = ok && proto.Equal(base[at], r)
		switch {
		case ok && last.GetCount() > 0 && int(last.GetFrom()+last.GetCount()) == at:
			last.Count++
			continue
		case ok:
			last = &wire.Span{Set: set, From: uint32(at), Count: 1}
		case len(last.GetRoutes()) > 0:
			last.Routes = append(last.Routes, r)
			continue
		default:
			last = &wire.Span{Set: set, Routes: []*wire.Route{r}}
		}
		list = append(list, last)
	}
	return list
}

func (c *content) routes(set string) []*wire.Route {
	for _, r := range c.sets {
		if r.GetSet() == set {
			return r.GetRoutes()
		}
	}
	return nil
}

// expand applies an edit to this content and returns the whole new content, or nil if its digest is not that of the edit.
func (c *content) expand(short *wire.Change) *wire.Content {
	e := short.GetEdit()
	w := &wire.Content{Register: e.GetFrame().GetRegister(), Bounds: e.GetFrame().GetBounds(), Customers: e.GetFrame().GetCustomers()}
	if e.GetCustomers() {
		w.Customers = c.customers.GetCustomers()
	}
	for _, r := range e.GetFrame().GetSets() {
		w.Sets = append(w.Sets, &wire.RuleSet{Set: r.GetSet(), Limits: r.GetLimits(), Drains: r.GetDrains()})
	}
	for _, s := range e.GetSpans() {
		if int(s.GetSet()) >= len(w.GetSets()) {
			return nil
		}
		r := w.GetSets()[s.GetSet()]
		base := c.routes(r.GetSet())
		first, end := uint64(s.GetFrom()), uint64(s.GetFrom())+uint64(s.GetCount())
		if end > uint64(len(base)) {
			return nil
		}
		r.Routes = append(r.Routes, base[first:end]...)
		r.Routes = append(r.Routes, s.GetRoutes()...)
	}
	full := &wire.Change{Body: &wire.Change_Content{Content: w}, Number: short.GetNumber(), Builds: short.GetBuilds()}
	if bodyDigest(full) != string(e.GetDigest()) {
		return nil
	}
	return w
}
