package org.clementinepost.ctl;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.api.config.ObjectRef;
import org.clementinepost.api.config.Snapshot;

/** Revokes the API key with a given name. */
final class KeyWithdrawCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    ObjectRef key = new ObjectRef(ObjectKind.KEY, context.argument());
    return PublishReport.of(
            context
                .editor()
                .edit(head -> removeKey(head, key), context.stamp("key withdraw " + key.name()))
                .block())
        .build();
  }

  private static Either<Failure, Snapshot> removeKey(Snapshot head, ObjectRef key) {
    return head.find(key)
        .map(head::without)
        .toEither(() -> Failure.of(ResultCode.NO_SUCH_OBJECT, key.toString()));
  }
}
