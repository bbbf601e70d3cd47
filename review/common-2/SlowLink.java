import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine's link to one address: passes bytes on at a rate that all connections share, the same for each of them. */
final class SlowLink implements AutoCloseable {
    private static final int PIECE = 8_192;

    private final ServerSocket listener;
    private final String target;
    /** The rate in each direction. */
    private final long bytesPerS;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Lane toTarget = new Lane();
    private final Lane fromTarget = new Lane();

    /** The time at which one direction of the link is free again. */
    private static final class Lane {
        private long freeAt = System.nanoTime();
    }

    SlowLink(String ip, String target, long bytesPerS) throws IOException {
        this.target = target;
        this.bytesPerS = bytesPerS;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(ip, 0), 1024);
        Http.thread("link", () -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    Socket other = Http.connect(target, 1_000);
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    open.add(other);
                    AtomicInteger ended = new AtomicInteger();
                    Http.thread("to", () -> pass(socket, other, toTarget, ended));
                    Http.thread("from", () -> pass(other, socket, fromTarget, ended));
                } catch (IOException e) {
                    if (listener.isClosed()) return;
                }
            }
        });
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void pass(Socket from, Socket to, Lane lane, AtomicInteger ended) {
        byte[] buffer = new byte[PIECE];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                long at;
                // Each connection has one piece on the way at a time, so that they share the link evenly.
                synchronized (lane) {
                    lane.freeAt = Math.max(lane.freeAt, System.nanoTime()) + read * 1_000_000_000L / bytesPerS;
                    at = lane.freeAt;
                }
                Kit.sleep((at - System.nanoTime()) / 1_000_000);
                out.write(buffer, 0, read);
                out.flush();
            }
            to.shutdownOutput();
            if (ended.incrementAndGet() == 2) closeBoth(from, to);
        } catch (IOException e) {
            closeBoth(from, to);
        }
    }

    private void closeBoth(Socket one, Socket other) {
        open.remove(one);
        open.remove(other);
        try {
            one.close();
            other.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : open) socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
