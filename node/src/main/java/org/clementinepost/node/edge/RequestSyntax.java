package org.clementinepost.node.edge;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Option;
import java.util.List;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/**
 * Checks the header fields that determine the addressee, the customer and the framing of a request.
 *
 * <p>If one of them is ambiguous, a proxy in front of the node may read it differently, so the
 * request is rejected and its connection closed.
 */
final class RequestSyntax {
  private RequestSyntax() {}

  /** Returns why a request must not be served; none if it may be. */
  static Option<Failure> findProblem(HttpVersion version, HttpHeaders headers) {
    int hosts = headers.getAll(HttpHeaderNames.HOST).size();
    if (hosts > 1 || (hosts == 0 && version.equals(HttpVersion.HTTP_1_1))) {
      return badRequest(hosts + " Host fields");
    }
    if (headers.getAll(HttpHeaderNames.AUTHORIZATION).size() > 1) {
      return badRequest("more than one Authorization field");
    }
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunkedOnly =
        codings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
    if (codings.isEmpty() || chunkedOnly) {
      return Option.none();
    }
    return Option.some(Failure.of(ResultCode.TRANSFER_CODING_UNKNOWN, String.join(", ", codings)));
  }

  private static Option<Failure> badRequest(String detail) {
    return Option.some(Failure.of(ResultCode.BAD_REQUEST, detail));
  }
}
