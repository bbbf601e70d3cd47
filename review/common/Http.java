import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server and client on blocking sockets, one thread for each channel. */
final class Http {
    private static final byte[] LINE_END = {13, 10};

    private Http() {}

    /** A request that a server received, with its whole body. */
    static final class Request {
        String method;
        String target;
        Map<String, String> headers;
        byte[] body;
        Channel channel;

        String path() {
            return target.split("\\?", 2)[0];
        }

        String query(String name) {
            String[] parts = target.split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                String[] field = pair.split("=", 2);
                if (field[0].equals(name)) return java.net.URLDecoder.decode(field.length > 1 ? field[1] : "", StandardCharsets.UTF_8);
            }
            return null;
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    /** One channel of a server. */
    static final class Channel {
        final Socket socket;
        final PushbackInputStream in;
        final OutputStream out;
        /** Once true, the channel delivers nothing more in either direction and is never closed by this side. */
        volatile boolean isSilent = false;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            in = new PushbackInputStream(socket.getInputStream(), 65536);
            out = socket.getOutputStream();
            socket.setTcpNoDelay(true);
        }

        void send(byte[] bytes) throws IOException {
            if (isSilent) holdForever();
            out.write(bytes);
            out.flush();
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head(status, headers, "Content-Length: " + body.length));
            all.write(body);
            send(all.toByteArray());
        }

        void respondJson(int status, String json) throws IOException {
            respond(status, Map.of("Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
        }

        void startChunked(int status, Map<String, String> headers) throws IOException {
            send(head(status, headers, "Transfer-Encoding: chunked"));
        }

        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(Integer.toHexString(bytes.length).getBytes(StandardCharsets.US_ASCII));
            all.write(LINE_END);
            all.write(bytes);
            all.write(LINE_END);
            send(all.toByteArray());
        }

        void endChunks() throws IOException {
            send("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }

        /** Returns whether the other side has closed the channel. */
        boolean isClosedByPeer() {
            try {
                socket.setSoTimeout(1);
                int next = in.read();
                if (next < 0) return true;
                in.unread(next);
                return false;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }

        private void holdForever() {
            while (true) {
                try {
                    Thread.sleep(60_000);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private static byte[] head(int status, Map<String, String> headers, String framing) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head.append(framing).append("\r\n\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    interface Handler {
        void handle(Request request) throws Exception;
    }

    interface OnChannel {
        void opened(Channel channel);
    }

    /** Serves until the program ends; returns the listener. */
    static ServerSocket serve(String host, int port, OnChannel onChannel, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        daemon(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = listener.accept();
                } catch (IOException e) {
                    return;
                }
                daemon(() -> serveChannel(socket, onChannel, handler));
            }
        });
        return listener;
    }

    private static void serveChannel(Socket socket, OnChannel onChannel, Handler handler) {
        try {
            Channel channel = new Channel(socket);
            onChannel.opened(channel);
            while (true) {
                socket.setSoTimeout(0);
                Request request = read(channel);
                if (request == null) return;
                if (channel.isSilent) channel.holdForever();
                handler.handle(request);
            }
        } catch (Exception e) {
            // The channel broke.
        } finally {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    private static Request read(Channel channel) throws IOException {
        String first = line(channel.in);
        if (first == null) return null;
        Request request = new Request();
        String[] words = first.split(" ");
        request.method = words[0];
        request.target = words[1];
        request.headers = readHeaders(channel.in);
        request.channel = channel;
        String length = request.headers.get("content-length");
        if (length != null) {
            request.body = channel.in.readNBytes(Integer.parseInt(length));
        } else if ("chunked".equals(request.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            readChunks(channel.in, body);
            request.body = body.toByteArray();
        } else {
            request.body = new byte[0];
        }
        return request;
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = line(in);
            if (line == null) throw new IOException("the head broke off");
            if (line.isEmpty()) return headers;
            int colon = line.indexOf(':');
            headers.putIfAbsent(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            if (next == '\n') {
                String line = bytes.toString(StandardCharsets.ISO_8859_1);
                return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            }
            bytes.write(next);
        }
    }

    /** Returns whether the chunks ended in order. */
    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) return false;
            int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (bytes == 0) return line(in) != null;
            byte[] chunk = in.readNBytes(bytes);
            body.write(chunk);
            if (chunk.length < bytes || line(in) == null) return false;
        }
    }

    /** The answer to a client's request. */
    static final class Answer {
        /** 0 if no head of an answer came. */
        int status = 0;
        Map<String, String> headers = Map.of();
        String body = "";
        /** True if the whole answer came. */
        boolean isComplete = false;
        /** True if a channel was established and the whole request was sent. */
        boolean isSent = false;
        String fault = "";

        @Override
        public String toString() {
            if (status == 0) return "no answer (" + fault + ")";
            return status + (isComplete ? "" : " cut (" + fault + ")");
        }
    }

    /** Sends a request on a new channel and reads the answer until it ends or the time is up. */
    static Answer send(String address, String method, String target, Map<String, String> headers, byte[] body, long timeoutMs) {
        Answer answer = new Answer();
        long endAt = System.nanoTime() + timeoutMs * 1_000_000;
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            String host = address.substring(0, address.lastIndexOf(':'));
            int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
            socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1000);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
            answer.isSent = true;
            InputStream in = timed(socket, endAt);
            String first = line(in);
            if (first == null) {
                answer.fault = "closed";
                return answer;
            }
            Map<String, String> fields = readHeaders(in);
            answer.status = Integer.parseInt(first.split(" ")[1]);
            answer.headers = fields;
            if (fields.containsKey("content-length")) {
                int length = Integer.parseInt(fields.get("content-length"));
                content.write(in.readNBytes(length));
                answer.isComplete = content.size() == length;
            } else if ("chunked".equals(fields.get("transfer-encoding"))) {
                answer.isComplete = readChunks(in, content);
            } else {
                content.write(in.readAllBytes());
                answer.isComplete = true;
            }
            if (!answer.isComplete) answer.fault = "closed";
        } catch (SocketTimeoutException e) {
            answer.fault = "timeout";
        } catch (IOException e) {
            answer.fault = "" + e.getMessage();
        }
        answer.body = content.toString(StandardCharsets.UTF_8);
        return answer;
    }

    private static InputStream timed(Socket socket, long endAt) throws IOException {
        InputStream raw = socket.getInputStream();
        InputStream limited = new InputStream() {
            @Override
            public int read() throws IOException {
                byte[] one = new byte[1];
                return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
            }

            @Override
            public int read(byte[] bytes, int from, int length) throws IOException {
                long left = (endAt - System.nanoTime()) / 1_000_000;
                if (left <= 0) throw new SocketTimeoutException("time is up");
                socket.setSoTimeout((int) left);
                return raw.read(bytes, from, length);
            }
        };
        return new java.io.BufferedInputStream(limited, 65536);
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
