"""Room that targets have for more requests, and the choice by it.

Used where the targets of all failure domains form one pool.
"""
