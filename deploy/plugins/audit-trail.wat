;; Routes requests with the header X-Matter to workers with the label audit-trail: if a line of the record
;; begins with "header:x-matter=", the answer is "need=audit-trail"; otherwise it is empty.  The interface,
;; version 1, is described in cottonladder/plugins/abi.py.
(module
  (memory (export "memory") 1 1)
  (data (i32.const 0) "header:x-matter=")
  (data (i32.const 64) "need=audit-trail")
  (func (export "interface") (result i32) (i32.const 1))
  (func (export "input") (result i32) (i32.const 1024))
  (func (export "capacity") (result i32) (i32.const 8192))
  (func (export "self_test") (result i32)
    ;; calls route with the prefix as the record, which must match
    (local $i i32)
    (loop $copy
      (i32.store8 (i32.add (i32.const 1024) (local.get $i)) (i32.load8_u (local.get $i)))
      (local.set $i (i32.add (local.get $i) (i32.const 1)))
      (br_if $copy (i32.lt_u (local.get $i) (i32.const 16))))
    (i64.eqz (call $route (i32.const 16))))
  (func $line (param $at i32) (result i32)
    ;; returns 1 if the line at $at begins with the prefix, otherwise 0
    (local $i i32)
    (loop $next
      (if (i32.ne (i32.load8_u (local.get $i)) (i32.load8_u (i32.add (local.get $at) (local.get $i))))
        (then (return (i32.const 0))))
      (local.set $i (i32.add (local.get $i) (i32.const 1)))
      (br_if $next (i32.lt_u (local.get $i) (i32.const 16))))
    (i32.const 1))
  (func $route (param $len i32) (result i64)
    (local $at i32) (local $end i32)
    (local.set $at (i32.const 1024))
    (local.set $end (i32.add (i32.const 1024) (local.get $len)))
    (block $none
      (loop $lines
        (br_if $none (i32.gt_u (i32.add (local.get $at) (i32.const 16)) (local.get $end)))
        (if (call $line (local.get $at))
          (then (return (i64.or (i64.shl (i64.const 64) (i64.const 32)) (i64.const 16)))))
        (loop $skip
          (br_if $none (i32.ge_u (local.get $at) (local.get $end)))
          (local.set $at (i32.add (local.get $at) (i32.const 1)))
          (br_if $skip (i32.ne (i32.load8_u (i32.sub (local.get $at) (i32.const 1))) (i32.const 10))))
        (br $lines)))
    (i64.const 0))
  (export "route" (func $route))
  (export "upgrade" (func $route)))
