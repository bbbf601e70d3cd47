import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A machine's link to a port: a relay that carries a limited number of bytes per second, shared by all connections. */
final class Link {
    private static final int PIECE = 4096;
    private final ServerSocket socket;
    private final double bytesPerMs;
    private double freeAt;

    Link(int target, double megabits) throws IOException {
        bytesPerMs = megabits * 1_000_000 / 8 / 1000;
        socket = new ServerSocket(0, 256, Http.LOOPBACK);
        Lib.thread("link", () -> {
            while (true) {
                Socket near = socket.accept();
                Socket far = new Socket();
                far.setReceiveBufferSize(64 * 1024);
                far.connect(new InetSocketAddress(Http.LOOPBACK, target));
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                near.setSendBufferSize(64 * 1024);
                Lib.thread("link", () -> pump(near, far));
                Lib.thread("link", () -> pump(far, near));
            }
        });
    }

    int port() {
        return socket.getLocalPort();
    }

    private void pump(Socket from, Socket to) throws Exception {
        byte[] piece = new byte[PIECE];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(piece);
                if (count < 0) break;
                take(count);
                out.write(piece, 0, count);
                out.flush();
            }
        } finally {
            from.close();
            to.close();
        }
    }

    private void take(int bytes) throws InterruptedException {
        long wait;
        synchronized (this) {
            double now = System.nanoTime() / 1e6;
            freeAt = Math.max(freeAt, now) + bytes / bytesPerMs;
            wait = (long) (freeAt - now);
        }
        if (wait > 0) Thread.sleep(wait);
    }
}
