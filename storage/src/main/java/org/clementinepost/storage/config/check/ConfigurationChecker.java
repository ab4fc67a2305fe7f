package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.source.ConfigurationFolder;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceSet;

/** Runs all checks, so that operators see all findings at once. */
public final class ConfigurationChecker {
  private static final Vector<ConfigurationCheck> CHECKS =
      Vector.of(
          new EmptyConfiguration(),
          new UnknownField(),
          new MissingField(),
          new BadValue(),
          new DuplicateName(),
          new DuplicateKeyHash(),
          new BrokenReference(),
          new CyclicReference(),
          new UnreachableFloor(),
          new AmbiguousRoute(),
          new OpenRouteCustomers());

  private ConfigurationChecker() {}

  /** Checks a folder's objects. */
  public static Either<Vector<Finding>, Snapshot> check(ConfigurationFolder folder) {
    return check(folder.set(), folder.findings());
  }

  /** Checks the objects of a snapshot after an edit; keeps its version. */
  public static Either<Vector<Finding>, Snapshot> check(Snapshot snapshot) {
    return check(SourceSet.of(snapshot), Vector.empty()).map(checked -> snapshot);
  }

  private static Either<Vector<Finding>, Snapshot> check(
      SourceSet set, Vector<Finding> readFindings) {
    boolean nothingReadable = set.objects().isEmpty() && !readFindings.isEmpty();
    Vector<Finding> findings =
        nothingReadable
            ? readFindings
            : readFindings.appendAll(CHECKS.flatMap(check -> check.check(set)));
    return findings.isEmpty() ? Either.right(set.toSnapshot()) : Either.left(findings.sorted());
  }
}
