package org.clementinepost.ctl;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.check.ConfigurationChecker;
import org.clementinepost.storage.config.source.ConfigurationFolder;

/** Shows how a folder differs from the newest version and which objects others have changed. */
final class DiffCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    return ConfigurationChecker.check(ConfigurationFolder.read(context.folder()))
        .fold(FindingsFormatter::toOutcome, folder -> run(context, folder));
  }

  private static Outcome run(CommandContext context, Snapshot folder) {
    long baseVersion = BaseVersionFile.baseVersion(context);
    Either<Failure, Snapshot> head = context.store().loadNewerThan(Snapshot.empty()).block();
    Either<Failure, Snapshot> base = context.store().load(baseVersion).block();
    if (head.isLeft() || base.isLeft()) {
      return Outcome.of(head.isLeft() ? head.getLeft() : base.getLeft());
    }
    Delta delta = Delta.between(head.get(), folder);
    Delta others = Delta.between(base.get(), head.get());
    Outcome.Builder outcome =
        Outcome.builder(ResultCode.OK)
            .field("version", head.get().version())
            .field("base", baseVersion)
            .objects("changes", DeltaFormatter.toJson(delta))
            .texts("changedByOthers", others.changedRefs().iterator())
            .lines(DeltaFormatter.toLines(delta))
            .line(delta.changedRefs().size() + " differ from version " + head.get().version());
    if (!others.isEmpty()) {
      outcome.line(
          "changed by others since version "
              + baseVersion
              + ": "
              + others.changedRefs().mkString(", "));
    }
    return outcome.build();
  }
}
