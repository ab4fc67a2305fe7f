package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Decision;
import org.clementinepost.kernel.Step;

/**
 * Decides which partitions this node is the home of, and until when.
 *
 * <p>At no time may two nodes grant tokens of one partition, and a new home begins only after the
 * grants of the one before have lapsed.
 */
public final class TenurePolicy implements Decision<TenureState, TenureEvent, TenureEffect> {
  private final NodeId self;

  /** Creates the decision of a node. */
  public TenurePolicy(NodeId self) {
    this.self = self;
  }

  @Override
  public Step<TenureState, TenureEffect> decide(TenureState state, TenureEvent event) {
    if (event instanceof TenureEvent.Wanted wanted) {
      return ClaimPolicy.wanted(state, self, wanted);
    }
    if (event instanceof TenureEvent.Members members) {
      return Step.to(state.withMembers(members.members()));
    }
    if (event instanceof TenureEvent.Tick tick) {
      return tick(state, tick.nowNanos());
    }
    if (event instanceof TenureEvent.NodeRead read) {
      return nodeRead(state, read);
    }
    if (event instanceof TenureEvent.NodeWritten written) {
      return nodeWritten(state, written);
    }
    if (event instanceof TenureEvent.PartitionRead read) {
      return ClaimPolicy.read(state, self, read);
    }
    if (event instanceof TenureEvent.PartitionWritten written) {
      return ClaimPolicy.written(state, written);
    }
    if (event instanceof TenureEvent.FromPeer fromPeer) {
      return fromPeer(state, fromPeer);
    }
    return ClaimPolicy.stopping(state, ((TenureEvent.Stopping) event).nowNanos());
  }

  private Step<TenureState, TenureEffect> tick(TenureState state, long nowNanos) {
    if (state.stopping()) {
      return Step.to(state);
    }
    Step<Registration, TenureEffect> own =
        RegistrationPolicy.tick(state.registration(), self, nowNanos);
    Step<TenureState, TenureEffect> endings = EndingPolicy.tick(state.with(own.state()), nowNanos);
    return Step.to(endings.state(), own.effects().appendAll(endings.effects()));
  }

  private boolean own(TenureState state, NodeTenure.Ref ref) {
    return ref.equals(new NodeTenure.Ref(self, state.registration().generation()));
  }

  private Step<TenureState, TenureEffect> nodeRead(TenureState state, TenureEvent.NodeRead read) {
    if (!own(state, read.ref())) {
      return EndingPolicy.read(state, self, read);
    }
    return state.stopping()
        ? Step.to(state)
        : registered(state, RegistrationPolicy.read(state.registration(), read, state.memberIds()));
  }

  private Step<TenureState, TenureEffect> nodeWritten(
      TenureState state, TenureEvent.NodeWritten event) {
    if (!own(state, event.written().ref())) {
      return EndingPolicy.written(state, self, event);
    }
    return state.stopping()
        ? Step.to(state)
        : registered(
            state,
            RegistrationPolicy.written(
                state.registration(), event.result(), self, event.nowNanos()));
  }

  /** A tenure that has ended takes its partitions with it. */
  private static Step<TenureState, TenureEffect> registered(
      TenureState state, Step<Registration, TenureEffect> step) {
    TenureState next = state.with(step.state());
    boolean same = step.state().generation() == state.registration().generation();
    return Step.to(
        same ? next : next.withOwned(HashMap.empty()).withClaims(HashMap.empty()), step.effects());
  }

  private Step<TenureState, TenureEffect> fromPeer(TenureState state, TenureEvent.FromPeer event) {
    if (event.message() instanceof QuotaMessage.Fence fence) {
      return fenced(state, event, fence);
    }
    if (event.message() instanceof QuotaMessage.FenceNoted noted) {
      NodeTenure.Ref ref = new NodeTenure.Ref(noted.node(), noted.generation());
      return Step.to(EndingPolicy.noted(state, ref, event.from(), event.nowNanos()));
    }
    if (event.message() instanceof QuotaMessage.Confirm confirm) {
      return confirm(state, event, confirm);
    }
    if (event.message() instanceof QuotaMessage.Confirmed confirmed) {
      return Step.to(
          state.with(
              RegistrationPolicy.confirmed(
                  state.registration(), event.from(), confirmed, event.nowNanos())));
    }
    return Step.to(state);
  }

  private Step<TenureState, TenureEffect> fenced(
      TenureState state, TenureEvent.FromPeer event, QuotaMessage.Fence fence) {
    NodeTenure.Ref ref = new NodeTenure.Ref(fence.node(), fence.generation());
    if (own(state, ref)) {
      return Step.to(
          state.with(state.registration().validUntil(event.nowNanos())),
          new TenureEffect.ReadNode(ref, event.nowNanos()));
    }
    return Step.to(
        state.withFences(state.fences().put(ref, event.nowNanos())),
        new TenureEffect.Send(
            event.from(), new QuotaMessage.FenceNoted(fence.node(), fence.generation())));
  }

  /** A witness that has started since may have forgotten what it had noted, and keeps silent. */
  private static Step<TenureState, TenureEffect> confirm(
      TenureState state, TenureEvent.FromPeer event, QuotaMessage.Confirm confirm) {
    NodeTenure.Ref ref = new NodeTenure.Ref(event.from(), confirm.generation());
    boolean forgetful =
        event.nowNanos() - state.startedNanos() < TenureTerm.silenceNanos(confirm.leaseMillis());
    if (forgetful || state.fences().containsKey(ref)) {
      return Step.to(state);
    }
    return Step.to(
        state,
        new TenureEffect.Send(
            event.from(), new QuotaMessage.Confirmed(confirm.generation(), confirm.round())));
  }
}
