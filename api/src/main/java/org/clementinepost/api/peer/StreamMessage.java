package org.clementinepost.api.peer;

import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResponseHead;

/**
 * The messages that carry a request to its host and the response back.
 *
 * <p>Only the node that opened the connection opens streams. It assigns increasing stream ids, so
 * that no id is used twice on a connection. In both directions, a sender sends only as many chunks
 * as the receiver has requested.
 */
public sealed interface StreamMessage extends PeerMessage {
  /** Returns the id of the stream that the message belongs to. */
  long streamId();

  /** Opens a stream with the head of a request to a backend server. */
  record Open(long streamId, BackendServerId server, RequestHead head) implements StreamMessage {}

  /** Permits the peer to send more chunks. */
  record Demand(long streamId, int chunks) implements StreamMessage {}

  /** The head of the response. */
  record ResponseStart(long streamId, ResponseHead head) implements StreamMessage {}

  /** A chunk of a request or response body. */
  record Data(long streamId, Chunk content) implements StreamMessage {}

  /** The end of a body, with its total length for the receiver to verify. */
  record End(long streamId, long totalBytes) implements StreamMessage {}

  /** The end of the stream without a complete response. */
  record Failed(long streamId, Failure failure) implements StreamMessage {}

  /** The node that opened the stream no longer needs the response. */
  record Cancel(long streamId) implements StreamMessage {}
}
