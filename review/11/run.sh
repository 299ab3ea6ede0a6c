#!/bin/sh
# Legal requests with very many short prompt entries, whose bodies stop short of their end.
cd "$(dirname "$0")/../.."
exec target/review-3/standins long-prefixes review/11
