package keeper

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Timeouts and delays of a client's attempts.
const (
	// attemptTimeout bounds the wait for one keeper; a call waits for it no longer than
	// a minAttempts-th of its time, as that keeper may stand still.
	attemptTimeout = time.Second
	minAttempts    = 5
	retryDelay     = 50 * time.Millisecond
	// lastAttemptPart is the part of a call's time before its end in which no attempt begins any
	// more: one that the end cuts off leaves the outcome unknown.
	lastAttemptPart = 40
	applyTimeout    = 8 * time.Second
	claimTimeout    = 2 * time.Second
	settleTimeout   = claim.OwnerTimeout
)

// Client sends commands to the keeper that leads. Commands may be repeated, so
// the client retries until a keeper has applied the command or the time is up.
type Client struct {
	nodes nodeLister
	peers *peer.Client

	mu     sync.Mutex
	leader consensus.ID
	// addresses caches the keepers' addresses.
	addresses map[consensus.ID]netip.AddrPort
}

// nodeLister lists the living nodes, as gossip does.
type nodeLister interface {
	Nodes(ctx context.Context) []member.NodeInfo
}

// NewClient returns a client that finds keepers among the nodes.
func NewClient(nodes nodeLister, peers *peer.Client) *Client {
	return &Client{nodes: nodes, peers: peers, addresses: map[consensus.ID]netip.AddrPort{}}
}

// Apply writes a document. After an error it may or may not be written.
func (c *Client) Apply(ctx context.Context, change document.Change) (document.Reply, error) {
	reply, err := c.propose(ctx, Command{Change: &change}, applyTimeout)
	if err != nil {
		return document.Reply{}, result.New(result.NoQuorum, result.From(err).Ran,
			"no majority of keepers answered: %v; send the same change ID again", err).WithRetry(time.Second)
	}
	return *reply.Change, nil
}

// Put stores a configuration. After an error it may or may not be stored.
func (c *Client) Put(ctx context.Context, p config.Put) (config.Outcome, error) {
	reply, err := c.propose(ctx, Command{Put: &p}, applyTimeout)
	if err != nil {
		return 0, result.New(result.NoQuorum, result.From(err).Ran, "no majority of keepers answered: %v", err).WithRetry(time.Second)
	}
	return reply.Put, nil
}

// RecordUsage records a window's final counts, and returns the window as
// recorded.
func (c *Client) RecordUsage(ctx context.Context, w usage.Window) (usage.Window, error) {
	reply, err := c.propose(ctx, Command{Usage: &w}, applyTimeout)
	if err != nil {
		return w, err
	}
	if reply.Usage == nil {
		return w, result.New(result.NoQuorum, result.RanUnknown, "a keeper of another version answered")
	}
	return *reply.Usage, nil
}

// Claim asks for the right to run a call. After an error the claim may or may
// not be registered.
func (c *Client) Claim(ctx context.Context, request claim.Claim) (claim.Reply, error) {
	reply, err := c.propose(ctx, Command{Claim: &claim.Command{Claim: &request}}, claimTimeout)
	if err != nil {
		return claim.Reply{}, err
	}
	return *reply.Claim, nil
}

// Settle reports the outcome of a claimed call.
func (c *Client) Settle(ctx context.Context, s claim.Settle) error {
	_, err := c.propose(ctx, Command{Claim: &claim.Command{Settle: &s}}, settleTimeout)
	return err
}

func (c *Client) propose(ctx context.Context, command Command, timeout time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	var lastErr error
	// ran is "no" while no keeper may have taken the command.
	ran := result.RanNo
	// unanswered counts the attempts that a keeper hasn't answered.
	unanswered := map[consensus.ID]int{}
	for {
		for _, to := range c.candidates(ctx, unanswered) {
			if lastErr != nil && time.Since(began) > timeout-timeout/lastAttemptPart {
				break
			}
			reply, err := c.proposeTo(ctx, to, command, min(attemptTimeout, timeout/minAttempts))
			if err == nil && !reply.NotLeader {
				c.setLeader(to)
				return reply, nil
			}
			c.setLeader(reply.Leader)
			switch {
			case err != nil:
				unanswered[to]++
				ran, lastErr = result.RanUnknown, err
			case reply.Code == result.NoQuorum:
				lastErr = result.New(result.NoQuorum, ran, "keeper %v belongs to no cluster: %s", to, reply.Detail)
			case reply.Code == result.LevelNotRead:
				// It has refused the command before it looked whether it leads.
				lastErr = result.New(result.LevelNotRead, ran, "keeper %v: %s", to, reply.Detail)
			default:
				ran = result.RanUnknown
				lastErr = result.New(result.NoQuorum, ran, "keeper %v isn't the leader %s", to, reply.Detail)
			}
			if reply.Leader != consensus.None && reply.Leader != to {
				break
			}
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			if lastErr == nil {
				lastErr = result.New(result.NoQuorum, ran, "no keeper is known")
			}
			last := result.From(lastErr)
			return Reply{}, result.New(last.Code, ran, "%s", last.Detail)
		}
	}
}

func (c *Client) proposeTo(ctx context.Context, to consensus.ID, command Command, timeout time.Duration) (Reply, error) {
	c.mu.Lock()
	address := c.addresses[to]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	err := c.peers.Call(ctx, address, peer.Propose, command, &reply)
	return reply, err
}

func (c *Client) setLeader(id consensus.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = id
}

// candidates lists the presumed leader, and then those of the known keepers that have
// left the fewest attempts of the call unanswered.
func (c *Client) candidates(ctx context.Context, unanswered map[consensus.ID]int) []consensus.ID {
	nodes := c.nodes.Nodes(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []consensus.ID
	for _, n := range nodes {
		id, ok := parseID(n.KeeperID)
		if !ok || n.KeeperStopped {
			continue
		}
		c.addresses[id] = n.Address
		list = append(list, id)
	}
	fewest := math.MaxInt
	for _, id := range list {
		fewest = min(fewest, unanswered[id])
	}
	list = slices.DeleteFunc(list, func(id consensus.ID) bool { return unanswered[id] > fewest && id != c.leader })
	for i, id := range list {
		if id == c.leader {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list
}
