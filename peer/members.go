package peer

import (
	"peridotcrank.dev/fleet"
)

// SetMembers adopts a member view: it dials new members and ends the sessions
// of members that left or have a newer incarnation. An older view is ignored.
// The node takes its own incarnation from the view when that is newer.
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
	n.adoptSelf(present[n.config.Self.ID])
	n.dropAbsent(present)
	for _, member := range view.Members {
		if member.ID != n.config.Self.ID {
			n.keepLink(member)
		}
	}
	n.endRefusedSessions()
}

// adoptSelf ends all sessions when the process has rejoined, since they were
// opened in the name of the older incarnation.
func (n *Node) adoptSelf(self fleet.Member) {
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

func (n *Node) dropAbsent(present map[fleet.MemberID]fleet.Member) {
	for id, l := range n.links {
		if _, ok := present[id]; !ok {
			l.cancel()
			delete(n.links, id)
			n.incarnations[id] = l.member.Incarnation + 1
		}
	}
}

// keepLink starts a link to the member unless one to the same incarnation and
// address exists.
func (n *Node) keepLink(member fleet.Member) {
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

// endRefusedSessions ends sessions that Hello would refuse now.
func (n *Node) endRefusedSessions() {
	for s := range n.sessions {
		sender := s.identity()
		if sender != (Sender{}) && n.checkSender(sender.Member, sender.Incarnation, 0) != nil {
			s.cancel()
		}
	}
}
