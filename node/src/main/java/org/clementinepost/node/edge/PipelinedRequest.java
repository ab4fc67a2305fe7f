package org.clementinepost.node.edge;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import org.clementinepost.api.RequestHead;
import org.clementinepost.policy.access.IncomingRequest;

/**
 * A request of a connection that has not been answered.
 *
 * @param headers its header fields; their identity is the identity of the request
 * @param incoming the request if it may be started early; none if it has a body or is malformed
 * @param progress how far its processing is
 * @param head the head of the request once it is authorized
 * @param started its processing if it was started early and has not been taken
 */
record PipelinedRequest(
    HttpHeaders headers,
    Option<IncomingRequest> incoming,
    Progress progress,
    Option<RequestHead> head,
    Option<StartedRequest> started) {

  /** How far the processing of a request is. */
  enum Progress {
    /** Nothing has been done for it. */
    RECEIVED,
    /** Its authorization has been requested ahead of its turn. */
    AUTHORIZING,
    /** It is authorized, but its processing has not been started. */
    AUTHORIZED,
    /** It is not authorized, so it will not run. */
    REFUSED,
    /** Its processing has been started ahead of its turn. */
    STARTED,
    /** It is its turn: its response is the next one to be written. */
    TAKEN
  }

  static PipelinedRequest received(HttpHeaders headers, Option<IncomingRequest> incoming) {
    return new PipelinedRequest(headers, incoming, Progress.RECEIVED, Option.none(), Option.none());
  }

  /** Whether the requests behind it may run at the same time. */
  boolean allowsConcurrency() {
    return progress == Progress.REFUSED || head.exists(RequestHead::idempotent);
  }

  boolean mayBeAuthorizedEarly() {
    return progress == Progress.RECEIVED && incoming.isDefined();
  }

  PipelinedRequest withProgress(Progress next) {
    return new PipelinedRequest(headers, incoming, next, head, started);
  }

  PipelinedRequest authorized(RequestHead authorizedHead) {
    Progress next = progress == Progress.AUTHORIZING ? Progress.AUTHORIZED : progress;
    return new PipelinedRequest(headers, incoming, next, Option.some(authorizedHead), started);
  }

  PipelinedRequest started(StartedRequest processing) {
    return new PipelinedRequest(headers, incoming, Progress.STARTED, head, Option.some(processing));
  }

  PipelinedRequest taken() {
    return new PipelinedRequest(headers, incoming, Progress.TAKEN, head, Option.none());
  }
}
