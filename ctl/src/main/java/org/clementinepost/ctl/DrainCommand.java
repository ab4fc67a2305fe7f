package org.clementinepost.ctl;

import io.vavr.control.Either;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Drain;
import org.clementinepost.api.config.Snapshot;

/**
 * Drains a backend server or ends its drain.
 *
 * <p>There is no list of backend servers, so a server that has not been announced can be drained
 * too.
 */
final class DrainCommand {
  private DrainCommand() {}

  static Command drain() {
    return context ->
        PublishReport.of(
                context
                    .editor()
                    .edit(
                        head -> Either.right(head.with(requestedDrain(context))),
                        context.stamp("drain " + context.argument()))
                    .block())
            .build();
  }

  static Command undrain() {
    return context ->
        PublishReport.of(
                context
                    .editor()
                    .edit(
                        head -> removeDrain(head, requestedDrain(context)),
                        context.stamp("undrain " + context.argument()))
                    .block())
            .build();
  }

  private static Drain requestedDrain(CommandContext context) {
    return new Drain(new BackendServerId(context.argument()));
  }

  private static Either<Failure, Snapshot> removeDrain(Snapshot head, Drain drain) {
    return head.isDrained(drain.server())
        ? Either.right(head.without(drain))
        : Either.left(Failure.of(ResultCode.NO_SUCH_OBJECT, drain.ref().toString()));
  }
}
