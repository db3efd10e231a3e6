# As the second part of cut-uploads: a response too large for an entry to buffer, while
# the upload is still being sent.  Guards against an entry and an upstream that wait for
# each other until the deadline.
ENTRY_STREAMS=yes
. tests/session/cut-uploads.sh
