package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/idempotency"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

// homeNotifyAttempts is how often a message about a claim is sent to a home.
// A home that misses how a call ended keeps the claim as committed, and
// repeats of the key are refused.
const homeNotifyAttempts = 3

// claim runs the protocol that claims one call's idempotency key at the key's
// home VMs.
type claim struct {
	daemon *Daemon

	mu      sync.Mutex
	attempt *idempotency.Attempt
}

func (d *Daemon) newClaim(call idempotency.Call) *claim {
	regions := idempotency.Regions(d.catalog.View().Regions())
	return &claim{daemon: d, attempt: d.claimer.Begin(time.Now(), call, regions)}
}

// homeReply is the reply of one home, or the error that it failed with.
type homeReply struct {
	home  ids.VMID
	reply peer.ClaimReply
	err   error
}

// acquire claims the key at all homes and waits for a verdict. Without enough
// replies the verdict is NoQuorum.
func (c *claim) acquire(ctx context.Context) idempotency.Verdict {
	homes := c.attempt.Homes()
	message := c.attempt.Claim()
	replies := make(chan homeReply, len(homes))
	for _, home := range homes {
		c.daemon.spawn(func() {
			reply, err := c.claimAtHome(home, message)
			replies <- homeReply{home: home, reply: reply, err: err}
		})
	}
	verdict := c.attempt.Verdict()
	for range homes {
		if verdict != idempotency.Pending {
			return verdict
		}
		select {
		case r := <-replies:
			verdict = c.applyReply(r)
		case <-ctx.Done():
			return idempotency.NoQuorum
		case <-c.daemon.ctx.Done():
			return idempotency.NoQuorum
		}
	}
	if verdict == idempotency.Pending {
		return idempotency.NoQuorum
	}
	return verdict
}

// claimAtHome sends the claim to one home, which may be this VM.
func (c *claim) claimAtHome(home ids.VMID, message peer.Claim) (peer.ClaimReply, error) {
	d := c.daemon
	if home == d.settings.VMID {
		return d.idempotencyHome.Claim(time.Now(), message), nil
	}
	return peers.Call[peer.ClaimReply](d.ctx, d.peers, home, peer.MethodClaim, d.peerTimeout(home), message)
}

// applyReply applies the reply or the failure of a home and returns the
// verdict so far.
func (c *claim) applyReply(r homeReply) idempotency.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.err != nil {
		return c.attempt.OnFailure(time.Now(), r.home)
	}
	return c.attempt.OnReply(time.Now(), r.reply)
}

// commit marks the claim as committed and tells the homes. It is called right
// before each attempt to send the call.
func (c *claim) commit() error {
	c.mu.Lock()
	message, err := c.attempt.Commit(time.Now())
	c.mu.Unlock()
	if err != nil {
		return err
	}
	notifyHomes(c, peer.MethodClaimCommit, message, c.daemon.idempotencyHome.Commit)
	return nil
}

// end tells the homes how the call ended, or releases the claim if the call
// certainly did not run.
func (c *claim) end(answer callers.ServiceResponse, refusal *callers.Refusal) {
	if refusal != nil && refusal.Outcome == inferencev1.Outcome_OUTCOME_NOT_RUN {
		c.release(true)
		return
	}
	stored := peer.StoredAnswer{Unknown: refusal != nil}
	if refusal == nil {
		stored = storedAnswer(answer)
	}
	c.mu.Lock()
	message := c.attempt.End(stored)
	c.mu.Unlock()
	notifyHomes(c, peer.MethodClaimEnd, message, c.daemon.idempotencyHome.End)
}

// storedAnswer returns the answer that the homes keep. Answers that are
// streamed or exceed idempotency.MaxAnswerBytes are kept without header and
// body.
func storedAnswer(answer callers.ServiceResponse) peer.StoredAnswer {
	if answer.BodyRest != nil || len(answer.BodyStart) > idempotency.MaxAnswerBytes {
		return peer.StoredAnswer{Status: answer.Status, Dropped: true}
	}
	return peer.StoredAnswer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.BodyStart}
}

// release releases the claim at all homes.
func (c *claim) release(provedNotRun bool) {
	c.mu.Lock()
	message, ok := c.attempt.Release(provedNotRun)
	c.mu.Unlock()
	if !ok {
		return
	}
	notifyHomes(c, peer.MethodClaimRelease, message, func(m peer.ClaimRelease) peer.ClaimAck {
		return c.daemon.idempotencyHome.Release(time.Now(), m)
	})
}

// notifyHomes sends a message about the claim to all homes without waiting
// for replies; a home may get it more than once. If this VM is a home,
// deliverLocally takes the message.
func notifyHomes[M any](c *claim, method string, message M, deliverLocally func(M) peer.ClaimAck) {
	d := c.daemon
	for _, home := range c.attempt.Homes() {
		if home == d.settings.VMID {
			deliverLocally(message)
			continue
		}
		d.spawn(func() {
			for range homeNotifyAttempts {
				_, err := peers.Call[peer.ClaimAck](d.ctx, d.peers, home, method, d.peerTimeout(home), message)
				if err == nil || d.ctx.Err() != nil {
					return
				}
			}
		})
	}
}

// handleClaims registers the handlers of messages to this VM as a home of
// idempotency keys.
func (d *Daemon) handleClaims(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodClaim, func(_ context.Context, _ peers.Sender, message peer.Claim) (peer.ClaimReply, error) {
		return d.idempotencyHome.Claim(time.Now(), message), nil
	})
	peers.Handle(registry, peer.MethodClaimCommit, func(_ context.Context, _ peers.Sender, message peer.ClaimCommit) (peer.ClaimAck, error) {
		return d.idempotencyHome.Commit(message), nil
	})
	peers.Handle(registry, peer.MethodClaimEnd, func(_ context.Context, _ peers.Sender, message peer.ClaimEnd) (peer.ClaimAck, error) {
		return d.idempotencyHome.End(message), nil
	})
	peers.Handle(registry, peer.MethodClaimRelease, func(_ context.Context, _ peers.Sender, message peer.ClaimRelease) (peer.ClaimAck, error) {
		return d.idempotencyHome.Release(time.Now(), message), nil
	})
}
