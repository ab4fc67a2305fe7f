package org.clementinepost.testing.platform;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.Step;

/** The task that owns the active fault and decides which requests it affects. */
final class FaultService {
  static final ServiceName<Message> NAME = ServiceName.of("faults", Message.class);

  private FaultService() {}

  /** A message to the fault service. */
  sealed interface Message {}

  /** Replaces the active fault. */
  record Inject(Fault fault, Reply<Either<Failure, Fault>> reply) implements Message {}

  /** Returns the fault for one request and counts the request against it. */
  record TakeFault(OperationKind operation, Reply<Either<Failure, Fault>> reply)
      implements Message {}

  private record SendReply(Reply<Either<Failure, Fault>> reply, Fault fault) {}

  static ServiceDefinition<Message> definition() {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context ->
            Behaviour.ofDecision(
                Fault.of(FaultMode.NONE),
                message -> message,
                FaultService::decide,
                (SendReply effect) -> effect.reply().send(Either.right(effect.fault()))));
  }

  private static Step<Fault, SendReply> decide(Fault active, Message message) {
    if (message instanceof Inject inject) {
      return Step.to(inject.fault(), new SendReply(inject.reply(), inject.fault()));
    }
    TakeFault takeFault = (TakeFault) message;
    if (!active.affects(takeFault.operation())) {
      return Step.to(active, new SendReply(takeFault.reply(), Fault.of(FaultMode.NONE)));
    }
    return Step.to(active.afterRequest(), new SendReply(takeFault.reply(), active));
  }
}
