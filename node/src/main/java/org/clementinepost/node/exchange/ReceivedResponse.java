package org.clementinepost.node.exchange;

import io.vavr.control.Option;

/**
 * A response as far as the host has received it.
 *
 * @param response the response
 * @param wholeBytes the length of its body if the whole body is in memory, so that the backend
 *     server has nothing left to do; none if the body is still being received
 */
record ReceivedResponse(BackendResponse response, Option<Long> wholeBytes) {
  static ReceivedResponse partial(BackendResponse response) {
    return new ReceivedResponse(response, Option.none());
  }
}
