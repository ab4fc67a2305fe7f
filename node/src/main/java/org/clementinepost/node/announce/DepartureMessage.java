package org.clementinepost.node.announce;

import io.vavr.control.Either;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.host.AnnouncementOrder;
import org.clementinepost.policy.host.Departures;
import org.clementinepost.storage.rows.RowPage;

/** A message to {@link DepartureService}. */
public sealed interface DepartureMessage {
  /**
   * Records that a backend server is leaving.
   *
   * @param order the position up to which its announcements are void
   * @param reply receives the recorded departures once they survive a restart of the node, or the
   *     failure of the store
   */
  record Record(
      BackendServerId server, AnnouncementOrder order, Reply<Either<Failure, Departures>> reply)
      implements DepartureMessage {}

  /** The table has been read, or the read has failed. */
  record TableRead(Either<Failure, RowPage> page) implements DepartureMessage {}

  /** A write of the node's row has succeeded or failed. */
  record RowWritten(DepartureRow row, Either<Failure, Long> result) implements DepartureMessage {}

  /** The time to remove an expired row of another node has come. */
  record RemoveExpired() implements DepartureMessage {}
}
