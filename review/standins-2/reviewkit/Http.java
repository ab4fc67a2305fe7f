package reviewkit;

import com.sun.net.httpserver.HttpExchange;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 client, which opens a connection for each request and never repeats one. */
public final class Http {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private Http() {}

  /**
   * The outcome of a request.
   *
   * @param status the status; 0 if there was no complete answer
   * @param headers the header fields by their names in lower case
   */
  public record Response(int status, Map<String, String> headers, String body) {
    static Response none(String why) {
      return new Response(0, Map.of(), why);
    }

    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  static Map<String, String> query(String text) {
    Map<String, String> found = new HashMap<>();
    if (text == null) {
      return found;
    }
    for (String part : text.split("&", -1)) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        found.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return found;
  }

  static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  public static Response send(
      String address,
      String method,
      String target,
      Map<String, String> headers,
      String body,
      int timeoutMillis) {
    int colon = address.indexOf(':');
    InetSocketAddress socketAddress =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    Map<String, String> fields = new TreeMap<>(headers);
    fields.putIfAbsent("Host", address);
    fields.put("Connection", "close");
    if (content.length > 0) {
      fields.put("Content-Length", String.valueOf(content.length));
    }
    fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("\r\n");
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(socketAddress, CONNECT_TIMEOUT_MILLIS);
      socket.setSoTimeout(timeoutMillis);
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      request.writeBytes(content);
      socket.getOutputStream().write(request.toByteArray());
      return read(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException | NumberFormatException e) {
      return Response.none(String.valueOf(e));
    }
  }

  static Response read(InputStream in) throws IOException {
    String statusLine = line(in);
    if (!statusLine.startsWith("HTTP/1.1 ")) {
      return Response.none("no status line: " + statusLine);
    }
    int status = Integer.parseInt(statusLine.substring(9, 12));
    Map<String, String> headers = new HashMap<>();
    for (String field = line(in); !field.isEmpty(); field = line(in)) {
      int colon = field.indexOf(':');
      headers.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
    }
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      return new Response(status, headers, chunks(in));
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    return body.length < length
        ? Response.none("body broke off")
        : new Response(status, headers, new String(body, StandardCharsets.UTF_8));
  }

  private static String chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int length = Integer.parseInt(line(in).trim(), 16);
      byte[] chunk = in.readNBytes(length);
      if (chunk.length < length) {
        throw new IOException("chunk broke off");
      }
      body.writeBytes(chunk);
      line(in);
      if (length == 0) {
        return body.toString(StandardCharsets.UTF_8);
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("connection ended");
      }
      if (next != '\r') {
        text.append((char) next);
      }
    }
    return text.toString();
  }
}
