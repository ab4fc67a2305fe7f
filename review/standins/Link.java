import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy that stands for the network between one machine and the store. While it is cut, it
 * holds all bytes back, in both directions, and new connections get no answer.
 */
final class Link {
  private final ServerSocket listener;
  private final int targetPort;
  private final AtomicLong operatorReads = new AtomicLong();
  private boolean cut;

  Link(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    start(this::acceptAll);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns how many reads of the operator's table have passed. */
  long operatorReads() {
    return operatorReads.get();
  }

  synchronized void setCut(boolean value) {
    cut = value;
    notifyAll();
  }

  private synchronized void awaitOpen() throws InterruptedException {
    while (cut) {
      wait();
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        start(() -> connect(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket near) {
    try {
      awaitOpen();
      Socket far = new Socket("127.0.0.1", targetPort);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      start(() -> pump(near, far, true));
      pump(far, near, false);
    } catch (IOException | InterruptedException e) {
      close(near);
    }
  }

  private void pump(Socket from, Socket to, boolean requests) {
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        awaitOpen();
        if (requests && new String(buffer, 0, read, java.nio.charset.StandardCharsets.ISO_8859_1)
            .contains("rows-feed?table=op&")) {
          operatorReads.incrementAndGet();
        }
        out.write(buffer, 0, read);
        out.flush();
      }
    } catch (IOException | InterruptedException e) {
      // The other direction ends too.
    }
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }
}
