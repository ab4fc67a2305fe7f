package org.clementinepost.node;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.collection.Vector;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.clementinepost.api.HeaderField;

/** Takes out the header fields that belong to one connection and not to the message. */
public final class HopByHopHeaders {
  private static final Set<String> HOP_BY_HOP_NAMES =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private HopByHopHeaders() {}

  /** The fields that are passed on. */
  public static Vector<HeaderField> strip(HttpHeaders headers) {
    Set<String> named = namesInConnectionHeader(headers);
    return Vector.ofAll(headers.entries())
        .filter(entry -> !isHopByHop(entry.getKey(), named))
        .map(entry -> new HeaderField(entry.getKey(), entry.getValue()));
  }

  private static boolean isHopByHop(String name, Set<String> named) {
    String lower = name.toLowerCase(Locale.ROOT);
    return HOP_BY_HOP_NAMES.contains(lower) || named.contains(lower);
  }

  private static Set<String> namesInConnectionHeader(HttpHeaders headers) {
    Set<String> named = new TreeSet<>();
    for (String value : headers.getAll("connection")) {
      for (String name : value.split(",", -1)) {
        named.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return named;
  }
}
