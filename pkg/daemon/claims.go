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

// tellTries is how often a home is told how a call ended. A home that misses
// it keeps the claim as committed, and repeats of the key are refused.
const tellTries = 3

// claim drives the claim of one call's idempotency key at its homes.
type claim struct {
	daemon *Daemon

	mu      sync.Mutex
	attempt *idempotency.Attempt
}

func (d *Daemon) newClaim(call idempotency.Call) *claim {
	regions := idempotency.Regions(d.catalog.View().Regions())
	return &claim{daemon: d, attempt: d.claimer.Begin(time.Now(), call, regions)}
}

// homeReply is the answer of one home, or none.
type homeReply struct {
	home  ids.VMID
	reply peer.ClaimReply
	err   error
}

// ask claims the key at all homes and waits for a verdict.
func (c *claim) ask(ctx context.Context) idempotency.Verdict {
	homes := c.attempt.Homes()
	message := c.attempt.Claim()
	replies := make(chan homeReply, len(homes))
	for _, home := range homes {
		c.daemon.spawn(func() {
			reply, err := c.claimAt(home, message)
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
			verdict = c.take(r)
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

func (c *claim) claimAt(home ids.VMID, message peer.Claim) (peer.ClaimReply, error) {
	d := c.daemon
	if home == d.settings.VMID {
		return d.home.Claim(time.Now(), message), nil
	}
	return peers.Call[peer.ClaimReply](d.ctx, d.peers, home, peer.MethodClaim, d.peerTimeout(home), message)
}

func (c *claim) take(r homeReply) idempotency.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.err != nil {
		return c.attempt.OnFailure(time.Now(), r.home)
	}
	return c.attempt.OnReply(time.Now(), r.reply)
}

// commit is called right before each sending of the call.
func (c *claim) commit() error {
	c.mu.Lock()
	message, err := c.attempt.Commit(time.Now())
	c.mu.Unlock()
	if err != nil {
		return err
	}
	tellHomes(c, peer.MethodClaimCommit, message, c.daemon.home.Commit)
	return nil
}

// end tells the homes how the call ended, or gives the claim back if it
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
	tellHomes(c, peer.MethodClaimEnd, message, c.daemon.home.End)
}

func storedAnswer(answer callers.ServiceResponse) peer.StoredAnswer {
	if answer.BodyRest != nil || len(answer.BodyStart) > idempotency.MaxAnswerBytes {
		return peer.StoredAnswer{Status: answer.Status, Dropped: true}
	}
	return peer.StoredAnswer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.BodyStart}
}

// release gives the claim back at all homes.
func (c *claim) release(provedNotRun bool) {
	c.mu.Lock()
	message, ok := c.attempt.Release(provedNotRun)
	c.mu.Unlock()
	if !ok {
		return
	}
	tellHomes(c, peer.MethodClaimRelease, message, func(m peer.ClaimRelease) peer.ClaimAck {
		return c.daemon.home.Release(time.Now(), m)
	})
}

// tellHomes sends a message about the claim to all homes; nobody waits for
// the answers, and a home may get it more than once.
func tellHomes[M any](c *claim, method string, message M, here func(M) peer.ClaimAck) {
	d := c.daemon
	for _, home := range c.attempt.Homes() {
		if home == d.settings.VMID {
			here(message)
			continue
		}
		d.spawn(func() {
			for range tellTries {
				_, err := peers.Call[peer.ClaimAck](d.ctx, d.peers, home, method, d.peerTimeout(home), message)
				if err == nil || d.ctx.Err() != nil {
					return
				}
			}
		})
	}
}

// handleClaims registers the messages to this VM as a home of keys.
func (d *Daemon) handleClaims(registry *peers.Registry) {
	peers.Handle(registry, peer.MethodClaim, func(_ context.Context, _ peers.Sender, message peer.Claim) (peer.ClaimReply, error) {
		return d.home.Claim(time.Now(), message), nil
	})
	peers.Handle(registry, peer.MethodClaimCommit, func(_ context.Context, _ peers.Sender, message peer.ClaimCommit) (peer.ClaimAck, error) {
		return d.home.Commit(message), nil
	})
	peers.Handle(registry, peer.MethodClaimEnd, func(_ context.Context, _ peers.Sender, message peer.ClaimEnd) (peer.ClaimAck, error) {
		return d.home.End(message), nil
	})
	peers.Handle(registry, peer.MethodClaimRelease, func(_ context.Context, _ peers.Sender, message peer.ClaimRelease) (peer.ClaimAck, error) {
		return d.home.Release(time.Now(), message), nil
	})
}
