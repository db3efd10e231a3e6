# The loads of crowds.sh that are not bodies of allowed size, with the same crowd and bounds.
loads="trailers far-over-announced far-over-sent heads pipelined unread"
. tests/session/crowds.sh
