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
 * Updates a folder with the changes that others have published since its base version.
 *
 * <p>If the folder contains a different change of the same object, nothing is written: the operator
 * resolves the conflict, either by making both equal or by specifying the new base version.
 */
final class PullCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    ConfigurationFolder folder = ConfigurationFolder.read(context.folder());
    if (folder.set().objects().isEmpty() && folder.findings().isEmpty()) {
      return run(context, folder, Snapshot.empty());
    }
    return ConfigurationChecker.check(folder)
        .fold(FindingsFormatter::toOutcome, local -> run(context, folder, local));
  }

  private static Outcome run(CommandContext context, ConfigurationFolder folder, Snapshot local) {
    Either<Failure, Snapshot> head = context.store().loadNewerThan(Snapshot.empty()).block();
    Either<Failure, Snapshot> base =
        context.store().load(BaseVersionFile.baseVersion(context)).block();
    if (head.isLeft() || base.isLeft()) {
      return Outcome.of(head.isLeft() ? head.getLeft() : base.getLeft());
    }
    Delta published = Delta.between(base.get(), head.get());
    SortedSet<ObjectRef> conflicting =
        Delta.between(base.get(), local)
            .changedRefs()
            .intersect(published.changedRefs())
            .intersect(Delta.between(head.get(), local).changedRefs());
    if (!conflicting.isEmpty()) {
      return conflict(base.get(), head.get(), conflicting);
    }
    FolderUpdater.write(context.folder(), folder.set(), published);
    BaseVersionFile.write(context.folder(), head.get().version());
    return Outcome.builder(ResultCode.OK)
        .field("version", head.get().version())
        .objects("changes", DeltaFormatter.toJson(published))
        .lines(DeltaFormatter.toLines(published))
        .line("the folder is based on version " + head.get().version())
        .build();
  }

  private static Outcome conflict(Snapshot base, Snapshot head, SortedSet<ObjectRef> conflicting) {
    return Outcome.builder(ResultCode.PUBLISH_CONFLICT)
        .field("version", head.version())
        .field("base", base.version())
        .texts("changedByBoth", conflicting.iterator())
        .line("changed here and by others: " + conflicting.mkString(", "))
        .line("make them equal and pull again, or publish with --base " + head.version())
        .build();
  }
}
