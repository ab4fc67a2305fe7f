package org.clementinepost.testing.platform;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.Step;

/** The task that owns the fault in force and tells each request how it is met. */
final class FaultService {
  static final ServiceName<Message> NAME = ServiceName.of("faults", Message.class);

  private FaultService() {}

  /** What the service is told. */
  sealed interface Message {}

  /** Orders a fault. */
  record Inject(Fault fault, Reply<Either<Failure, Fault>> reply) implements Message {}

  /** Asks how a request is met. */
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
                (SendReply answer) -> answer.reply().send(Either.right(answer.fault()))));
  }

  private static Step<Fault, SendReply> decide(Fault inForce, Message message) {
    if (message instanceof Inject inject) {
      return Step.to(inject.fault(), new SendReply(inject.reply(), inject.fault()));
    }
    TakeFault meet = (TakeFault) message;
    if (!inForce.affects(meet.operation())) {
      return Step.to(inForce, new SendReply(meet.reply(), Fault.of(FaultMode.NONE)));
    }
    return Step.to(inForce.afterRequest(), new SendReply(meet.reply(), inForce));
  }
}
