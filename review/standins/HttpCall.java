import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP request on a connection of its own, and the reading of HTTP messages. */
final class HttpCall {
  /** The response to a request. */
  record Response(int status, Map<String, String> headers, String body) {}

  private final String method;
  private final String target;
  private final Map<String, String> headers = new LinkedHashMap<>();
  private byte[] body = new byte[0];

  HttpCall(String method, String target) {
    this.method = method;
    this.target = target;
  }

  HttpCall header(String name, String value) {
    headers.put(name, value);
    return this;
  }

  HttpCall body(String text) {
    body = text.getBytes(StandardCharsets.UTF_8);
    return this;
  }

  /** Sends the request and returns the response. */
  Response send(String address, int timeoutMillis) throws IOException {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1_000);
      socket.setSoTimeout(timeoutMillis);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      if (body.length > 0) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      head.append("\r\n");
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.writeBytes(body);
      socket.getOutputStream().write(out.toByteArray());
      socket.getOutputStream().flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String answer = readHead(in);
      if (answer == null) {
        throw new IOException("connection closed without a response");
      }
      String[] lines = answer.split("\r\n");
      Map<String, String> answerHeaders = headers(lines);
      return new Response(
          Integer.parseInt(lines[0].split(" ")[1]),
          answerHeaders,
          new String(readBody(in, answerHeaders), StandardCharsets.UTF_8));
    }
  }

  /** Reads up to the empty line; returns null if the connection ends before the first byte. */
  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      if (next < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new IOException("connection closed within a head");
      }
      head.write(next);
      matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  static Map<String, String> headers(String[] lines) {
    Map<String, String> headers = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      headers.put(
          lines[i].substring(0, colon).trim().toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).trim());
    }
    return headers;
  }

  static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      return readChunks(in);
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("connection closed within a body");
    }
    return body;
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int length = Integer.parseInt(readLine(in).trim(), 16);
      body.writeBytes(in.readNBytes(length));
      readLine(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("connection closed within a line");
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
