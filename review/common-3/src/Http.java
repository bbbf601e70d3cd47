import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 over plain sockets, for the stand-ins and the clients. */
final class Http {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private Http() {}

    /** A message that was received: a request or the answer to one. */
    static final class Message {
        String start;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** True if the body came to its end. */
        boolean isWhole;

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String query(String name) {
            int mark = target().indexOf('?');
            if (mark < 0) return null;
            for (String pair : target().substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                if (parts[0].equals(name) && parts.length == 2) {
                    return URLDecoder.decode(parts[1], StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** Reads a head; null at the end of the stream. */
    static Message readHead(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Message message = new Message();
        message.start = start;
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        String length = message.header("content-length");
        if (length != null) message.body = in.readNBytes(Integer.parseInt(length));
        message.isWhole = true;
        return message;
    }

    static Message readResponse(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) throw new EOFException("no answer");
        String length = message.header("content-length");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) throw new EOFException("within chunks");
                    int count = Integer.parseInt(size.trim(), 16);
                    if (count == 0) {
                        line(in);
                        break;
                    }
                    byte[] chunk = in.readNBytes(count);
                    body.write(chunk);
                    if (chunk.length < count) throw new EOFException("within a chunk");
                    line(in);
                }
            } else if (length != null) {
                int count = Integer.parseInt(length);
                body.write(in.readNBytes(count));
                if (body.size() < count) throw new EOFException("within a body");
            } else {
                in.transferTo(body);
            }
            message.isWhole = true;
        } catch (IOException e) {
            message.isWhole = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("within a line");
            }
            if (b == '\n') break;
            out.write(b);
        }
        String text = out.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] head(String start, Object... headers) {
        StringBuilder out = new StringBuilder(start).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            if (headers[i + 1] != null) out.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        return out.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, byte[] head, byte[] body) throws IOException {
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Sends one request on a new connection; null if no head came within the time. */
    static Message call(int port, int timeoutMs, String method, String target, byte[] body, Object... headers) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            Object[] all = new Object[headers.length + 2];
            System.arraycopy(headers, 0, all, 0, headers.length);
            all[headers.length] = "Content-Length";
            all[headers.length + 1] = body.length;
            write(socket.getOutputStream(), head(method + " " + target + " HTTP/1.1", all), body);
            return readResponse(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }

    /** One connection that a stand-in has accepted. */
    static final class Conn {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Conn(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }
    }

    interface Handler {
        /** Answers one request; returns false to close the connection. */
        boolean handle(Conn conn, Message request) throws Exception;
    }

    /** Accepts connections on a free loopback port and serves each in a thread of its own. */
    static final class Server {
        private final ServerSocket socket;

        Server(String name, Handler handler) throws IOException {
            socket = new ServerSocket(0, 1024, LOOPBACK);
            Lib.thread(name, () -> {
                while (true) {
                    Conn conn = new Conn(socket.accept());
                    Lib.thread(name, () -> serve(conn, handler));
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        private void serve(Conn conn, Handler handler) {
            try {
                while (true) {
                    Message request = readRequest(conn.in);
                    if (request == null) break;
                    if (!handler.handle(conn, request)) break;
                }
            } catch (Exception e) {
                // The peer has closed the connection.
            } finally {
                try {
                    conn.socket.close();
                } catch (IOException e) {
                    // It is closed.
                }
            }
        }
    }
}
