package org.clementinepost.node.system;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Uploads a body and reads the response at the same time.
 *
 * <p>A server that echoes stops reading once its response is no longer read. A client that reads
 * only after it has sent everything then waits for the server for good, unless the socket buffers
 * on the way happen to hold the whole body.
 */
final class DuplexUpload {
  private static final int READ_TIMEOUT_MILLIS = 60_000;
  private static final String HEAD_END = "\r\n\r\n";

  /** The head of a response, in lower case, and its body. */
  record Response(String head, byte[] body) {}

  private DuplexUpload() {}

  /** Posts a body and returns the response, whose length must be declared. */
  static Response post(URI uri, String key, byte[] body) throws Exception {
    try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      CompletableFuture<Void> sent =
          CompletableFuture.runAsync(() -> send(socket, uri.getPath(), key, body));
      Response response = read(socket.getInputStream());
      sent.get(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      return response;
    }
  }

  private static void send(Socket socket, String path, String key, byte[] body) {
    String head =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer "
            + key
            + "\r\nContent-Length: "
            + body.length
            + HEAD_END;
    try {
      OutputStream output = socket.getOutputStream();
      output.write(head.getBytes(StandardCharsets.ISO_8859_1));
      output.write(body);
      output.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Response read(InputStream input) throws IOException {
    String head = readHead(input).toLowerCase(Locale.ROOT);
    String field = "\r\ncontent-length: ";
    int start = head.indexOf(field);
    if (start < 0) {
      throw new IOException("response without length: " + head);
    }
    int valueStart = start + field.length();
    int length = Integer.parseInt(head.substring(valueStart, head.indexOf("\r\n", valueStart)));
    return new Response(head, input.readNBytes(length));
  }

  private static String readHead(InputStream input) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith(HEAD_END)) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("connection closed within the head of the response");
      }
      head.write(next);
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }
}
