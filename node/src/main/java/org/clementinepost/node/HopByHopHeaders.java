package org.clementinepost.node;

import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.collection.Vector;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.clementinepost.api.HeaderField;

/** Removes hop-by-hop header fields, which apply to one connection and are not forwarded. */
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

  /** Returns the header fields without the hop-by-hop fields. */
  public static Vector<HeaderField> strip(HttpHeaders headers) {
    Set<String> connectionNames = namesInConnectionHeader(headers);
    return Vector.ofAll(headers.entries())
        .filter(entry -> !isHopByHop(entry.getKey(), connectionNames))
        .map(entry -> new HeaderField(entry.getKey(), entry.getValue()));
  }

  private static boolean isHopByHop(String name, Set<String> connectionNames) {
    String lowerCaseName = name.toLowerCase(Locale.ROOT);
    return HOP_BY_HOP_NAMES.contains(lowerCaseName) || connectionNames.contains(lowerCaseName);
  }

  private static Set<String> namesInConnectionHeader(HttpHeaders headers) {
    Set<String> names = new TreeSet<>();
    for (String value : headers.getAll("connection")) {
      for (String name : value.split(",", -1)) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}
