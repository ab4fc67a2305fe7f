package org.clementinepost.ctl;

import io.vavr.collection.SortedSet;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.ObjectRef;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.check.ConfigurationChecker;
import org.clementinepost.storage.config.source.ConfigurationFolder;
import org.clementinepost.storage.config.source.FolderUpdater;

/**
 * Brings into a folder what others have published since its base version.
 *
 * <p>Where the folder has changed the same object otherwise, nothing is written: which of the two
 * is right is for the operator to say, by making both alike or by naming the new base.
 */
final class PullCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    ConfigurationFolder folder = ConfigurationFolder.read(context.folder());
    if (folder.set().objects().isEmpty() && folder.findings().isEmpty()) {
      return run(context, folder, Snapshot.empty());
    }
    return ConfigurationChecker.check(folder)
        .fold(FindingsFormatter::toOutcome, mine -> run(context, folder, mine));
  }

  private static Outcome run(CommandContext context, ConfigurationFolder folder, Snapshot mine) {
    Either<Failure, Snapshot> head = context.store().loadNewerThan(Snapshot.empty()).block();
    Either<Failure, Snapshot> base =
        context.store().load(BaseVersionFile.baseVersion(context)).block();
    if (head.isLeft() || base.isLeft()) {
      return Outcome.of(head.isLeft() ? head.getLeft() : base.getLeft());
    }
    Delta theirs = Delta.between(base.get(), head.get());
    SortedSet<ObjectRef> differing =
        Delta.between(base.get(), mine)
            .changedRefs()
            .intersect(theirs.changedRefs())
            .intersect(Delta.between(head.get(), mine).changedRefs());
    if (!differing.isEmpty()) {
      return conflict(base.get(), head.get(), differing);
    }
    FolderUpdater.write(context.folder(), folder.set(), theirs);
    BaseVersionFile.write(context.folder(), head.get().version());
    return Outcome.builder(ResultCode.OK)
        .field("version", head.get().version())
        .objects("changes", DeltaFormatter.toJson(theirs))
        .lines(DeltaFormatter.toLines(theirs))
        .line("the folder is based on version " + head.get().version())
        .build();
  }

  private static Outcome conflict(Snapshot base, Snapshot head, SortedSet<ObjectRef> differing) {
    return Outcome.builder(ResultCode.PUBLISH_CONFLICT)
        .field("version", head.version())
        .field("base", base.version())
        .texts("changedByBoth", differing.iterator())
        .line("changed here and by others: " + differing.mkString(", "))
        .line("make them alike and pull again, or publish with --base " + head.version())
        .build();
  }
}
