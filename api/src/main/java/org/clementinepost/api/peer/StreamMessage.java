package org.clementinepost.api.peer;

import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResponseHead;

/**
 * The messages that carry one request to its host and the answer back.
 *
 * <p>The node that opened the connection opens the streams and counts their ids up, so that an id
 * is never used twice on a connection. Both directions of a stream carry only as many chunks as the
 * receiver has asked for.
 */
public sealed interface StreamMessage extends PeerMessage {
  /** The stream that the message belongs to. */
  long streamId();

  /** Opens a stream: a request for one backend server. */
  record Open(long streamId, BackendServerId server, RequestHead head) implements StreamMessage {}

  /** Asks the other side for more chunks. */
  record Demand(long streamId, int chunks) implements StreamMessage {}

  /** The head of the answer. */
  record ResponseStart(long streamId, ResponseHead head) implements StreamMessage {}

  /** One chunk of a body. */
  record Data(long streamId, Chunk content) implements StreamMessage {}

  /** The end of a body, with its length for the receiver to compare. */
  record End(long streamId, long totalBytes) implements StreamMessage {}

  /** The stream ends without a whole answer. */
  record Failed(long streamId, Failure failure) implements StreamMessage {}

  /** The opener no longer wants the answer. */
  record Cancel(long streamId) implements StreamMessage {}
}
