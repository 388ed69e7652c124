package peer

import (
	"peridotcrank.dev/fleet"
)

// SetMembers applies a member view: it dials new members and ends the sessions
// of members that left or have a newer incarnation. It ignores a view that is
// older than the current one. The node adopts its own incarnation from the view
// when that is newer.
func (n *Node) SetMembers(view fleet.MemberView) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if view.Version < n.viewVersion || n.ctx.Err() != nil {
		return
	}
	n.viewVersion = view.Version
	present := make(map[fleet.MemberID]fleet.Member, len(view.Members))
	for _, member := range view.Members {
		present[member.ID] = member
	}
	n.updateOwnIncarnation(present[n.config.Self.ID])
	n.removeAbsentLinks(present)
	for _, member := range view.Members {
		if member.ID != n.config.Self.ID {
			n.ensureLink(member)
		}
	}
	n.closeRefusedSessions()
}

// updateOwnIncarnation adopts a newer incarnation of this process after it has
// rejoined. It ends all sessions, because they were opened under the older
// incarnation.
func (n *Node) updateOwnIncarnation(self fleet.Member) {
	if self.Incarnation <= n.config.Self.Incarnation {
		return
	}
	n.config.Self.Incarnation = self.Incarnation
	for member, l := range n.links {
		l.cancel()
		delete(n.links, member)
	}
	for s := range n.sessions {
		s.cancel()
	}
}

// removeAbsentLinks ends the links to members that are no longer in the view
// and refuses their last known incarnation from now on.
func (n *Node) removeAbsentLinks(present map[fleet.MemberID]fleet.Member) {
	for id, l := range n.links {
		if _, ok := present[id]; !ok {
			l.cancel()
			delete(n.links, id)
			n.incarnations[id] = l.member.Incarnation + 1
		}
	}
}

// ensureLink starts a link to the member unless a link to the same incarnation
// and address exists. It ends a link to an older incarnation or address.
func (n *Node) ensureLink(member fleet.Member) {
	n.incarnations[member.ID] = max(n.incarnations[member.ID], member.Incarnation)
	if l := n.links[member.ID]; l != nil {
		if l.member == member {
			return
		}
		l.cancel()
	}
	l := newLink(n, member)
	n.links[member.ID] = l
	n.running.Go(l.run)
}

// closeRefusedSessions ends incoming sessions whose Hello would now be refused.
func (n *Node) closeRefusedSessions() {
	for s := range n.sessions {
		sender := s.boundSender()
		if sender != (Sender{}) && n.checkSender(sender.Member, sender.Incarnation, 0) != nil {
			s.cancel()
		}
	}
}
