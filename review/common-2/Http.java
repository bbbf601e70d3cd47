import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on plain sockets, one thread for each connection. */
final class Http {
    private Http() {}

    /** A request or an answer that was read from a socket. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** False if the connection ended before the message did. */
        boolean whole;

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            String[] words = first.split(" ");
            return words.length > 1 ? Integer.parseInt(words[1]) : 0;
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        Map<String, String> query() {
            Map<String, String> query = new HashMap<>();
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) return query;
            for (String pair : parts[1].split("&")) {
                String[] words = pair.split("=", 2);
                query.put(words[0], words.length > 1 ? URLDecoder.decode(words[1], StandardCharsets.UTF_8) : "");
            }
            return query;
        }
    }

    interface Handler {
        /** Answers a request; returns false to close the connection. */
        boolean answer(Message request, Socket socket) throws IOException;
    }

    /** A server on a free port of a loopback address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        /** How many bytes a second are read on each connection; 0 for no limit. */
        volatile int readBytesPerS;

        Server(String ip, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(ip, port), 1024);
            thread("accept", () -> {
                while (!listener.isClosed()) {
                    try {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        open.add(socket);
                        thread("serve", () -> serve(socket, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                InputStream in = new BufferedInputStream(throttled(socket.getInputStream()));
                while (true) {
                    Message request = read(in, true, false);
                    if (request == null || !request.whole) return;
                    if (!handler.answer(request, socket)) return;
                }
            } catch (IOException | RuntimeException e) {
                // The peer is gone.
            } finally {
                open.remove(socket);
            }
        }

        private InputStream throttled(InputStream in) {
            return new FilterInputStream(in) {
                @Override
                public int read(byte[] buffer, int from, int length) throws IOException {
                    int rate = readBytesPerS;
                    if (rate == 0) return super.read(buffer, from, length);
                    int read = super.read(buffer, from, Math.min(length, rate / 20));
                    if (read > 0) Kit.sleep(read * 1000L / rate);
                    return read;
                }
            };
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

    /** Reads one message; null if the connection ends before it begins. */
    static Message read(InputStream in, boolean isRequest, boolean noBody) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) return null;
        message.first = line;
        while (true) {
            line = line(in);
            if (line == null) return message;
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            if (colon > 0) message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String length = message.header("content-length");
            if (noBody) {
                message.whole = true;
            } else if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
                message.whole = readChunks(in, body);
            } else if (length != null) {
                message.whole = copy(in, body, Integer.parseInt(length));
            } else if (isRequest) {
                message.whole = true;
            } else {
                in.transferTo(body);
                message.whole = true;
            }
        } catch (IOException e) {
            message.whole = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream out) throws IOException {
        while (true) {
            String line = line(in);
            if (line == null) return false;
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (!copy(in, out, size)) return false;
            line = line(in);
            if (line == null) return false;
            if (size == 0) return true;
        }
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] buffer = new byte[65536];
        int left = size;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) return false;
            out.write(buffer, 0, read);
            left -= read;
        }
        return true;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) return null;
            if (c == '\n') break;
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    static void answer(Socket socket, int status, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        socket.getOutputStream().write(all.toByteArray());
        socket.getOutputStream().flush();
    }

    static byte[] request(String method, String target, byte[] body, Map<String, String> headers) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        return out.toByteArray();
    }

    /** Sends a request on a new connection; the status is 0 if there is no answer, and [whole] tells whether it is complete. */
    static Message send(String address, String method, String target, byte[] body, Map<String, String> headers, int timeoutMs) {
        Message failed = new Message();
        failed.first = "HTTP/1.1 0 none";
        try (Socket socket = connect(address, 1_000)) {
            socket.setSoTimeout(timeoutMs);
            OutputStream out = socket.getOutputStream();
            out.write(request(method, target, body, headers));
            out.flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream()), false, method.equals("HEAD"));
            return answer == null ? failed : answer;
        } catch (IOException e) {
            failed.first = "HTTP/1.1 0 " + e.getClass().getSimpleName();
            return failed;
        }
    }

    static Socket connect(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        InetAddress host = InetAddress.getByName(address.substring(0, colon));
        socket.connect(new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1))), timeoutMs);
        return socket;
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
