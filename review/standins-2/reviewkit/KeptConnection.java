package reviewkit;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client that is kept for many requests. */
final class KeptConnection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final Socket socket = new Socket();
  private final InputStream in;

  KeptConnection(String address) throws IOException {
    int colon = address.indexOf(':');
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        CONNECT_TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static String head(
      String method, String path, String attempt, String key, int deadlineMillis, int length) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + Configurations.HOST
        + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + deadlineMillis
        + (key.isEmpty() ? "" : "\r\nAuthorization: Bearer " + key)
        + (length > 0 ? "\r\nContent-Length: " + length : "") + "\r\n\r\n";
  }

  /** Returns the head of a request without a key, whose body follows in chunks. */
  static String chunkedHead(String method, String path, String attempt, int deadlineMillis) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + Configurations.HOST
        + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + deadlineMillis
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  void send(String requests) throws IOException {
    socket.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads the next answer; fails with a time-out if nothing arrives. */
  Http.Response read(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    return Http.read(in);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
